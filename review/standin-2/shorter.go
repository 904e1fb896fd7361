package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// The times of the case, from the start of the clients on: the added route comes at addedAt, the
	// targets of its service are slow from slowAt for slowFor, and its time-out falls at shorterAt.
	addedAt   = 2 * time.Second
	slowAt    = 8 * time.Second
	slowFor   = 9 * time.Second
	shorterAt = 16500 * time.Millisecond
	// Requests count that are sent from steadyAt on, which is 5 s after the last disturbance, until endAt.
	steadyAt = 22 * time.Second
	endAt    = 42 * time.Second
	// normalWork is the time that targets work on a request, slowFactor that of slow ones in multiples of it.
	normalWork = 250 * time.Millisecond
	slowFactor = 12
	// longTimeout and shortTimeout are the time-outs of the added route, in milliseconds.
	longTimeout, shortTimeout = 4000, 1000
	// shorterInterval is the pause of each client between the starts of two requests.
	shorterInterval = 500 * time.Millisecond
	// minLaterRequests and minServedRatio are those of the rule.
	minLaterRequests = 20
	minServedRatio   = 0.25
)

// playShorter has clients on two routes to one service. One route is added later, and the operator
// lowers its time-out to four times what its requests need. With trouble, the targets of the service
// are slow for a while before. The function returns 1 if the added route is served less than a
// quarter as often as the other.
func playShorter(r *rig, trouble bool) (violations int) {
	services := []string{"front", "front", "front", "lists"}
	for i := range 8 {
		r.addMachine(fmt.Sprintf("m-%d", i), fmt.Sprintf("127.45.%d.1", i+1), []string{"z-a", "z-b"}[i/4], services[i%4], fmt.Sprintf("i-%d", i), 54)
	}
	setWork := func(work time.Duration) {
		for _, m := range r.machines {
			if m.service == "lists" {
				m.target.setWork(work)
			}
		}
	}
	setWork(normalWork)
	first := routeConfig{host: "lists.example", prefix: "/first/", kind: "idempotent", service: "lists", timeoutMS: longTimeout, attempts: 2}
	added := first
	added.prefix = "/added/"
	known := []string{"front", "lists"}
	r.putConfig([]routeConfig{first}, known)
	r.startAll()

	start := time.Now()
	var mu sync.Mutex
	sent, served, statuses := map[string]int{}, map[string]int{}, map[string]int{}
	var clients sync.WaitGroup
	for k, m := range r.machines {
		if m.service != "front" {
			continue
		}
		for _, prefix := range []string{first.prefix, added.prefix} {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for n := 0; time.Since(start) < endAt; n++ {
					time.Sleep(shorterInterval)
					at := time.Since(start)
					if prefix == added.prefix && at < addedAt+2*time.Second {
						continue
					}
					clients.Add(1)
					go func() {
						defer clients.Done()
						id := fmt.Sprintf("t%d%s%d", k, prefix[1:2], n)
						status, err := r.get(m, prefix+"9", id)
						if err != nil {
							r.record.line("client gets no answer to %s: %v", id, err)
						}
						if at < steadyAt {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						sent[prefix]++
						statuses[fmt.Sprintf("%s %d", prefix, status)]++
						if status == http.StatusOK {
							served[prefix]++
						}
					}()
				}
			}()
		}
	}
	until := func(at time.Duration) { time.Sleep(time.Until(start.Add(at))) }
	until(addedAt)
	r.putConfig([]routeConfig{first, added}, known)
	until(slowAt)
	if trouble {
		r.record.line("targets of lists turn slow")
		setWork(slowFactor * normalWork)
	}
	until(shorterAt)
	added.timeoutMS = shortTimeout
	r.putConfig([]routeConfig{first, added}, known)
	until(slowAt + slowFor)
	r.record.line("targets of lists are as fast as before")
	setWork(normalWork)
	clients.Wait()
	if sent[added.prefix] < minLaterRequests || sent[first.prefix] < minLaterRequests || served[first.prefix] == 0 {
		fail("only %d and %d requests, %d served on the first route", sent[first.prefix], sent[added.prefix], served[first.prefix])
	}
	share := func(prefix string) float64 { return float64(served[prefix]) / float64(sent[prefix]) }
	line := fmt.Sprintf("from %v on: %d of %d requests on the added route served, %d of %d on the first; answers %v", steadyAt,
		served[added.prefix], sent[added.prefix], served[first.prefix], sent[first.prefix], statuses)
	fmt.Println(line)
	r.record.line("%s", line)
	if share(added.prefix) < minServedRatio*share(first.prefix) {
		return 1
	}
	return 0
}
