// Package bench measures what a node's decisions and calls cost. The results hold only
// for the machine and the time of the run.
package bench

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

// fleetSize is the number of targets that a node knows in the largest supported fleet.
const fleetSize = 4300

// MeasureDecisions prints the cost of one admission decision and one routing decision.
func MeasureDecisions(out io.Writer) error {
	for _, d := range []struct {
		name string
		run  func(*testing.B)
	}{
		{"admission_decision", benchmarkAdmission},
		{fmt.Sprintf("routing_decision targets=%d", fleetSize), benchmarkRouting},
	} {
		r := testing.Benchmark(d.run)
		_, err := fmt.Fprintf(out, "bench=%s ns_per_op=%d allocs_per_op=%d\n", d.name, r.NsPerOp(), r.AllocsPerOp())
		if err != nil {
			return err
		}
	}
	return nil
}

// benchmarkAdmission measures admitting one request and recording its end.
func benchmarkAdmission(b *testing.B) {
	controller := admission.New(admission.Config{
		Initial: 100, Min: 1, Max: 1000, MaxQueue: 1000, AdaptiveLimit: true, OrderByRank: true, LimitQueueTime: true,
	})
	b.ReportAllocs()
	now := time.Duration(0)
	for i := uint64(1); b.Loop(); i++ {
		now += time.Microsecond
		controller.Offer(now, admission.Request{ID: i, Deadline: now + time.Second})
		controller.Done(now, admission.Sample{ID: i, SelfTime: time.Millisecond, OK: true})
	}
}

// benchmarkRouting measures picking one of fleetSize targets of one service and recording
// the result of the attempt.
func benchmarkRouting(b *testing.B) {
	peers := newPeers()
	balance := balancer.New(balancer.Config{
		Seed: 1, SelfTarget: "caller-1", DataCentre: "dc1", EjectOutliers: true, SlowStart: true, Spill: true,
	}, 0)
	b.ReportAllocs()
	now := time.Minute
	for b.Loop() {
		now += time.Microsecond
		p := balance.Pick("service", peers, balancer.Options{Now: now, Retryable: true})
		balance.AttemptStarted(now, p.Target)
		balance.AttemptFinished(now, p.Target, now, balancer.ResultOK)
	}
}

// newPeers returns fleetSize peers of one service, spread over 14 data centres.
func newPeers() []*membership.Peer {
	const dataCentres = 14
	var peers []*membership.Peer
	for i := range fleetSize {
		peers = append(peers, &membership.Peer{
			Instance: membership.Instance{
				Target: fmt.Sprintf("service-%d", i), Service: "service", DataCentre: fmt.Sprintf("dc%d", i%dataCentres),
			},
			Incarnation: 1, State: wire.NodeServing, Linked: true,
			Load: wire.Load{InFlight: uint32(i % 30), Limit: 40, AdmissionLevel: uint16(admission.RankAll)},
		})
	}
	return peers
}
