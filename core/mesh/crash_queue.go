package mesh

import (
	"slices"
	"time"
)

const (
	// maxQueuedCrashes bounds the instances whose crash records wait to be passed on.
	maxQueuedCrashes = 256
	// maxCrashPages bounds the pages of crash records that a relay sends in one round.
	maxCrashPages = 2
)

// crashQueue holds, by instance, the latest page of crash records that is to be passed on. A
// node repeats its records in its heartbeats, so that a page which replaces another one loses
// nothing.
type crashQueue struct{ list []queuedCrashes }

type queuedCrashes struct {
	InstanceCrashes
	at time.Duration
}

func (q *crashQueue) put(now time.Duration, instance string, incarnation int64, page []CrashStat) {
	address := encodeAddress(instance)
	if address == nil || len(page) == 0 {
		return
	}
	page = slices.Clone(page[:min(len(page), maxHeartbeatCrashes)])
	item := queuedCrashes{InstanceCrashes{Address: address, Incarnation: incarnation, Crashes: page}, now}
	i := slices.IndexFunc(q.list, func(c queuedCrashes) bool { return slices.Equal(c.Address, address) })
	switch {
	case i >= 0:
		q.list[i] = item
	case len(q.list) < maxQueuedCrashes:
		q.list = append(q.list, item)
	}
}

// take removes the next pages and returns them with their ages at this time, and those of
// them that come from instances in the given data centre.
func (q *crashQueue) take(now time.Duration, dataCentres map[string]string, dataCentre string) (pages, ofDataCentre []InstanceCrashes) {
	count := min(len(q.list), maxCrashPages)
	for _, item := range q.list[:count] {
		for i := range item.Crashes {
			item.Crashes[i].AgeMS += uint32((now - item.at).Milliseconds())
		}
		pages = append(pages, item.InstanceCrashes)
		if at := dataCentres[decodeAddress(item.Address)]; at == dataCentre || at == "" {
			ofDataCentre = append(ofDataCentre, item.InstanceCrashes)
		}
	}
	q.list = slices.Delete(q.list, 0, count)
	return pages, ofDataCentre
}
