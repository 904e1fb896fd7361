package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// sums holds what the plan needs of several nodes: sums by service and by root route.
type sums struct {
	// nodes is the number of nodes that are summed.
	nodes    int
	services map[string]*ServiceSum
	demand   map[uint32]*demandSum
}

// demandSum is the demand for one route at several nodes. The rates are in requests per
// second.
type demandSum struct {
	priority                            int
	idempotent                          bool
	offered, admitted, served, returned float64
}

func newSums() *sums {
	return &sums{services: map[string]*ServiceSum{}, demand: map[uint32]*demandSum{}}
}

// service returns the sum for a service, which is empty at first.
func (s *sums) service(name string) *ServiceSum {
	sum := s.services[name]
	if sum == nil {
		sum = &ServiceSum{Service: name}
		s.services[name] = sum
	}
	return sum
}

// addUpstream adds the heartbeat of the node of one registered upstream.
func (s *ServiceSum) addUpstream(h *Heartbeat) {
	s.Requests += float32(h.Load.Running + h.Load.Queued)
	s.Limit += float32(h.Load.Limit)
	s.FirstRuns += h.FirstRuns
	s.Retries += h.Retries
	s.addCapacity(CapacityStat{FaultLevel: faultLevel(float64(h.FaultShare)), Slots: float32(h.Load.Limit)})
	inUse, runs := 0.0, 0.0
	for _, root := range h.Roots {
		s.addRoot(root)
		inUse += float64(root.SlotsInUse)
		runs += float64(root.RunRate)
	}
	if runs > 0 {
		meanRunTime := inUse / runs // in seconds
		s.Backlog += float32(float64(h.Load.Queued) * meanRunTime / max(queueDrainTime.Seconds(), meanRunTime))
	}
}

// add adds the sum for the same service over other nodes.
func (s *ServiceSum) add(other *ServiceSum) {
	s.Requests += other.Requests
	s.Limit += other.Limit
	s.FirstRuns += other.FirstRuns
	s.Retries += other.Retries
	s.Backlog += other.Backlog
	for _, c := range other.Capacities {
		s.addCapacity(c)
	}
	for _, root := range other.Roots {
		s.addRoot(root)
	}
}

func (s *ServiceSum) addCapacity(c CapacityStat) {
	i, found := slices.BinarySearchFunc(s.Capacities, c, func(a, b CapacityStat) int { return cmp.Compare(a.FaultLevel, b.FaultLevel) })
	if !found {
		s.Capacities = slices.Insert(s.Capacities, i, CapacityStat{FaultLevel: c.FaultLevel})
	}
	s.Capacities[i].Slots += c.Slots
}

func (s *ServiceSum) addRoot(root RootStat) {
	i := slices.IndexFunc(s.Roots, func(r RootStat) bool { return r.Root == root.Root })
	if i < 0 {
		if len(s.Roots) >= MaxHeartbeatRoutes {
			return
		}
		i = len(s.Roots)
		s.Roots = append(s.Roots, RootStat{Root: root.Root})
	}
	s.Roots[i].SlotsInUse += root.SlotsInUse
	s.Roots[i].RunRate += root.RunRate
}

// addDemand adds the demand for one route at other nodes.
func (s *sums) addDemand(d DemandStat) {
	sum := s.demand[d.Root]
	if sum == nil {
		if len(s.demand) >= maxRoots {
			return
		}
		sum = &demandSum{priority: int(d.Priority), idempotent: d.Idempotent}
		s.demand[d.Root] = sum
	}
	sum.offered += float64(d.Offered)
	sum.admitted += float64(d.Admitted)
	sum.served += float64(d.Served)
	sum.returned += float64(d.Offered) * float64(d.ReturnedPercent) / 100
}

// add adds sums over other nodes.
func (s *sums) add(other *sums) {
	s.nodes += other.nodes
	for name, sum := range other.services {
		s.service(name).add(sum)
	}
	for root, d := range other.demand {
		s.addDemand(d.stat(root))
	}
}

func (d *demandSum) stat(root uint32) DemandStat {
	return DemandStat{
		Root: root, Priority: int32(d.priority), Idempotent: d.idempotent, Offered: float32(d.offered), Admitted: float32(d.admitted),
		Served: float32(d.served), ReturnedPercent: returnedPercent(d.returned, d.offered),
	}
}

// totals returns the demand and the capacity that are summed.
func (s *sums) totals() (offered, limit float64) {
	for _, d := range s.demand {
		offered += d.offered
	}
	for _, sum := range s.services {
		for _, c := range sum.Capacities {
			limit += float64(c.Slots) * (1 - faultShareOf(c.FaultLevel))
		}
	}
	return offered, limit
}

// sortedServices returns the sums by service, sorted by name.
func (s *sums) sortedServices() []ServiceSum {
	list := make([]ServiceSum, 0, len(s.services))
	for _, sum := range s.services {
		list = append(list, *sum)
	}
	slices.SortFunc(list, func(a, b ServiceSum) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// sortedDemand returns the demand by route, sorted by route.
func (s *sums) sortedDemand() []DemandStat {
	list := make([]DemandStat, 0, len(s.demand))
	for root, d := range s.demand {
		list = append(list, d.stat(root))
	}
	slices.SortFunc(list, func(a, b DemandStat) int { return cmp.Compare(a.Root, b.Root) })
	return list
}

// sumReporters returns the sums over the nodes of the own data centre whose heartbeats
// arrive here, this one included. Every service with a registered upstream there has a sum,
// also if no node of it reports. Ejected upstreams are left out if skipEjected is set.
func (n *Node) sumReporters(now time.Duration, skipEjected bool) *sums {
	s := newSums()
	reports := map[string]*Heartbeat{}
	for _, instance := range n.members(now) {
		if h := n.directReport(now, instance); h != nil {
			reports[instance] = h
			s.nodes++
			for _, d := range h.Demand {
				s.addDemand(d)
			}
		}
	}
	n.registry.ForEachService(func(name string, list []*registry.Upstream) {
		for _, u := range list {
			if u.DataCentre != n.cfg.DataCentre {
				continue
			}
			sum := s.service(name)
			ejected := skipEjected && n.peers[u.Instance] != nil && n.peers[u.Instance].outlier.Ejected()
			if h := reports[u.Instance]; h != nil && h.Service == name && !u.Draining && !ejected {
				sum.addUpstream(h)
			}
		}
	})
	return s
}

// directReport returns the last heartbeat that came from the instance itself, or the current
// one of this node. It is nil if there is none or the instance is silent.
func (n *Node) directReport(now time.Duration, instance string) *Heartbeat {
	if instance == n.cfg.Instance {
		if n.ownReportAt != now || n.ownReport == nil {
			h := n.Heartbeat(now)
			n.ownReport, n.ownReportAt = &h, now
		}
		return n.ownReport
	}
	p := n.peers[instance]
	if p == nil || !p.reportsDirectly(now) || p.silent(now) {
		return nil
	}
	return &p.heartbeat
}

// sumTable holds sums as received from a relay, item by item. Each item replaces the one
// before and expires if it is not sent again.
type sumTable struct {
	nodes    int
	nodesAt  time.Duration
	covered  []string
	services map[string]timedServiceSum
	demand   map[uint32]timedDemand
}

type timedServiceSum struct {
	sum     ServiceSum
	expires time.Duration
}

type timedDemand struct {
	stat    DemandStat
	expires time.Duration
}

// sumLifetime is how long sums are used after they were received: until a relay that was
// lost has been replaced.
const sumLifetime = 1500 * time.Millisecond

// maxSumServices bounds the services in one sumTable.
const maxSumServices = 2000

func newSumTable() *sumTable {
	return &sumTable{services: map[string]timedServiceSum{}, demand: map[uint32]timedDemand{}}
}

// merge takes over the sums of one message.
func (t *sumTable) merge(now time.Duration, m *Message) {
	expires := now + max(sumLifetime, 4*time.Duration(m.RefreshMS)*time.Millisecond)
	t.nodes, t.nodesAt, t.covered = int(m.Nodes), now, m.Covered
	for _, sum := range m.Services {
		if _, known := t.services[sum.Service]; known || len(t.services) < maxSumServices {
			t.services[sum.Service] = timedServiceSum{sum, expires}
		}
	}
	for _, stat := range m.Demand {
		if _, known := t.demand[stat.Root]; known || len(t.demand) < maxRoots {
			t.demand[stat.Root] = timedDemand{stat, expires}
		}
	}
}

// current returns the sums that have not expired, nil if there are none.
func (t *sumTable) current(now time.Duration) *sums {
	if t == nil || t.nodes == 0 || now-t.nodesAt > sumLifetime {
		return nil
	}
	s := newSums()
	s.nodes = t.nodes
	for name, item := range t.services {
		if now > item.expires {
			delete(t.services, name)
			continue
		}
		s.service(name).add(&item.sum)
	}
	for root, item := range t.demand {
		if now > item.expires {
			delete(t.demand, root)
			continue
		}
		s.addDemand(item.stat)
	}
	return s
}
