package bench

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/harness/fleet"
	"github.com/shallotspool/shallotspool/harness/standin"
)

// socketDocument has two services: deep serves the calls, front only provides the node
// through which callers enter.
const socketDocument = `version: 1
name: bench
classes: [lookup]
resend_window: 1s
answers: {bytes: 1048576, keys: 1000}
services:
  front:
    targets: 1
    routes:
      none: {method: GET, path: /none, class: lookup, idempotent: true, wait: 2s, retries: 0}
  deep:
    targets: 1
    routes:
      stock: {method: GET, path: "/stock/{id}", class: lookup, idempotent: true, wait: 2s, retries: 0}
`

// The sizes and times of the measurements over sockets.
const (
	fullLoadCallers    = 48
	warmUpTime         = 2 * time.Second
	fullLoadTime       = 3 * time.Second
	partialLoadTime    = 6 * time.Second
	partialLoadRatio   = 0.3
	partialLoadCallers = 16
	idleTime           = 5 * time.Second
	scalingTime        = 2 * time.Second
	megabyte           = 1 << 20
	latencyUnit        = time.Millisecond
	// minAnsweredPerFailure is how many calls must be answered for each call that is
	// not.
	minAnsweredPerFailure = 10
)

// errTooManyFailures means that too many calls failed for the results to be meaningful.
var errTooManyFailures = errors.New("too many calls failed")

// callPaths are the two ways to call the upstream of the service deep.
type callPaths struct {
	call         standin.Call
	direct       *standin.Caller
	throughNodes *standin.Caller
}

// MeasureCalls prints the cost of a call through two nodes and of a direct call. Callers,
// nodes and upstream run in the same process and share its processors.
func MeasureCalls(out io.Writer) error {
	f, err := fleet.Start([]byte(socketDocument), nil)
	if err != nil {
		return err
	}
	defer f.Close()
	p := &callPaths{
		call:         standin.NewCall(stockRoute(f.Document), "1"),
		direct:       &standin.Caller{Address: f.Upstream("deep-1").Address},
		throughNodes: f.Caller("front-1"),
	}
	if err := measureIdle(out, 2); err != nil {
		return err
	}
	generateLoad(p.throughNodes, p.call, fullLoadCallers, warmUpTime, 0)
	rate, err := measureThroughput(out, p)
	if err != nil {
		return err
	}
	if err := measureLatency(out, p, rate); err != nil {
		return err
	}
	return measureScaling(out, p)
}

// stockRoute returns the only route of the service deep.
func stockRoute(doc *document.Document) *document.Route { return doc.Service("deep").Routes[0] }

// sample is the result of one load run.
type sample struct {
	latencies []time.Duration // of the answered calls
	failed    int             // calls without status 200
	elapsed   time.Duration
}

// rate returns the answered calls per second.
func (s *sample) rate() float64 { return float64(len(s.latencies)) / s.elapsed.Seconds() }

// nextID gives each call its own ID: nodes treat calls with the same ID as sends of one
// request.
var nextID atomic.Uint64

// check returns an error if too many calls failed for the results to be meaningful. A
// few refusals are expected while a node adapts its limit to full load; the result
// lines report them.
func (s *sample) check(name string) error {
	if len(s.latencies) == 0 || s.failed*minAnsweredPerFailure > len(s.latencies) {
		return errors.Wrapf(errTooManyFailures, "%s: %d calls answered, %d not", name, len(s.latencies), s.failed)
	}
	return nil
}

// generateLoad makes calls from several concurrent callers for a time. Each caller pauses
// after an answered call.
func generateLoad(c *standin.Caller, call standin.Call, callers int, length, pause time.Duration) sample {
	latencies := make([][]time.Duration, callers)
	var failed atomic.Int64
	runStart := time.Now()
	var wg conc.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for time.Since(runStart) < length {
				call := call
				call.ID = strconv.FormatUint(nextID.Add(1), 10)
				start := time.Now()
				if c.Do(call).Status != 200 {
					failed.Add(1)
					continue
				}
				latencies[i] = append(latencies[i], time.Since(start))
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	s := sample{failed: int(failed.Load()), elapsed: time.Since(runStart)}
	for _, t := range latencies {
		s.latencies = append(s.latencies, t...)
	}
	return s
}

// measureThroughput prints the throughput at full load, in total and per second of CPU
// time, and returns the total in calls per second.
func measureThroughput(out io.Writer, p *callPaths) (float64, error) {
	before := cpuTime()
	s := generateLoad(p.throughNodes, p.call, fullLoadCallers, fullLoadTime, 0)
	used := cpuTime() - before
	if err := s.check("throughput"); err != nil {
		return 0, err
	}
	_, err := fmt.Fprintf(out, "bench=throughput path=two_nodes calls_per_second=%.0f calls_per_second_per_core=%.0f refused=%d\n",
		s.rate(), float64(len(s.latencies))/used.Seconds(), s.failed)
	return s.rate(), err
}

// measureLatency prints the latency of both paths and the difference between them.
// fullRate is in calls per second. The load is below partialLoadRatio of it, because the
// pause between two calls does not allow for their latency.
func measureLatency(out io.Writer, p *callPaths, fullRate float64) error {
	pause := time.Duration(partialLoadCallers / (fullRate * partialLoadRatio) * float64(time.Second))
	var quantiles [2][2]float64
	for i, path := range []struct {
		name   string
		caller *standin.Caller
	}{{"direct", p.direct}, {"two_nodes", p.throughNodes}} {
		generateLoad(path.caller, p.call, partialLoadCallers, time.Second, pause)
		s := generateLoad(path.caller, p.call, partialLoadCallers, partialLoadTime, pause)
		if err := s.check(path.name); err != nil {
			return err
		}
		quantiles[i] = [2]float64{quantile(s.latencies, 0.5), quantile(s.latencies, 0.99)}
		if _, err := fmt.Fprintf(out, "bench=latency path=%s calls_per_second=%.0f p50_ms=%.3f p99_ms=%.3f refused=%d\n",
			path.name, s.rate(), quantiles[i][0], quantiles[i][1], s.failed); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "bench=added_latency nodes=2 added_p50_ms=%.3f added_p99_ms=%.3f\n",
		quantiles[1][0]-quantiles[0][0], quantiles[1][1]-quantiles[0][1])
	return err
}

// measureScaling prints the throughput with 1, 2, 4 and 8 processors.
func measureScaling(out io.Writer, p *callPaths) error {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	var singleCoreRate float64
	for _, cores := range []int{1, 2, 4, 8} {
		runtime.GOMAXPROCS(cores)
		s := generateLoad(p.throughNodes, p.call, fullLoadCallers, scalingTime, 0)
		if singleCoreRate == 0 {
			singleCoreRate = s.rate()
		}
		if _, err := fmt.Fprintf(out, "bench=scaling cores=%d calls_per_second=%.0f ratio=%.2f refused=%d\n",
			cores, s.rate(), s.rate()/singleCoreRate, s.failed); err != nil {
			return err
		}
	}
	return nil
}

// measureIdle prints the CPU and heap use per node, and the memory of the process, while
// the given number of nodes runs without calls.
func measureIdle(out io.Writer, nodes int) error {
	before := cpuTime()
	time.Sleep(idleTime)
	used := cpuTime() - before
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	_, err := fmt.Fprintf(out, "bench=idle_node nodes=%d cpu_percent=%.2f heap_mb=%.1f process_sys_mb=%.1f\n",
		nodes, 100*used.Seconds()/idleTime.Seconds()/float64(nodes),
		float64(m.HeapAlloc)/megabyte/float64(nodes), float64(m.Sys)/megabyte)
	return err
}

// cpuTime returns the CPU time that the process has used so far, 0 if unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// quantile returns a quantile in milliseconds. It sorts times.
func quantile(times []time.Duration, q float64) float64 {
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))]) / float64(latencyUnit)
}
