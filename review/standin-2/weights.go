package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

const (
	// weightsBefore and weightsAfter are how long clients send requests before and after the change.
	weightsBefore = 10 * time.Second
	weightsAfter  = 20 * time.Second
	// weightsInForce is the time after the acknowledgement from which on the new version holds:
	// config_ms.
	weightsInForce = 2 * time.Second
	// weightsInterval is the pause of each client between two requests, and weightsClients their
	// number at each machine.
	weightsInterval = 100 * time.Millisecond
	weightsClients  = 2
	// maxShareOff is how far the share of a part may lie off that of its weight, in a time of
	// minShareRequests or more.
	maxShareOff      = 0.2
	minShareRequests = 200
)

// playWeights has clients that send requests on a route whose weights the operator changes. Both
// versions are valid; with trouble, the sum of the weights is not the same in both. The function returns 1 if the
// shares of the parts are off the weights in force.
func playWeights(r *rig, trouble bool) (violations int) {
	services := []string{"front", "stable", "canary"}
	for i := range 9 {
		m := r.addMachine(fmt.Sprintf("m-%d", i), fmt.Sprintf("127.44.%d.1", i+1), []string{"z-a", "z-b", "z-c"}[i/3], services[i%3], fmt.Sprintf("i-%d", i), 50)
		m.target.work = 5 * time.Millisecond
	}
	put := func(stable, canary int) time.Time {
		r.putConfig([]routeConfig{{host: "lists.example", prefix: "/lists/", kind: "idempotent", timeoutMS: 3000, attempts: 2,
			split: []weighted{{"stable", stable}, {"canary", canary}}}}, services)
		return time.Now()
	}
	before, after := weighted{"canary", 2500}, weighted{"canary", 1}
	beforeSum, afterSum := 10_000, 10
	if !trouble {
		// The same proportions, with the same sum.
		after.weight, afterSum = 1000, beforeSum
	}
	put(beforeSum-before.weight, before.weight)
	r.startAll()

	var mu sync.Mutex
	var changed time.Time
	served := map[string]int{}
	total := 0
	end := time.Now().Add(weightsBefore + weightsAfter)
	var clients sync.WaitGroup
	for k := range weightsClients * len(r.machines) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(weightsInterval)
				id, sent := fmt.Sprintf("w%d-%d", k, n), time.Now()
				status, err := r.get(r.machines[k%len(r.machines)], "/lists/9", id)
				runs := r.runsOf(id)
				if err != nil || status != http.StatusOK || len(runs) != 1 {
					r.record.line("client gets %d for %s, %v, %d runs", status, id, err, len(runs))
					continue
				}
				mu.Lock()
				if !changed.IsZero() && sent.After(changed.Add(weightsInForce)) {
					served[runs[0].service]++
					total++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(weightsBefore)
	acknowledged := put(afterSum-after.weight, after.weight)
	mu.Lock()
	changed = acknowledged
	mu.Unlock()
	clients.Wait()
	if total < minShareRequests {
		fail("only %d requests", total)
	}
	got, want := float64(served["canary"])/float64(total), float64(after.weight)/float64(afterSum)
	line := fmt.Sprintf("of %d requests sent later than %v after the acknowledgement, canary ran %.3f; its weight is %.3f of the sum", total, weightsInForce, got, want)
	fmt.Println(line)
	r.record.line("%s", line)
	if math.Abs(got-want) > maxShareOff {
		return 1
	}
	return 0
}
