package sidecar

import (
	"cmp"
	"slices"

	"github.com/shallotspool/shallotspool/node/internal/metrics"
)

// levels are the values that the node's decisions follow from, as they are now.
func (s *Sidecar) levels() []metrics.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []metrics.Level
	add := func(name, label, value string, v float64) {
		out = append(out, metrics.Level{Name: name, Label: label, Value: value, Now: v})
	}
	table, store := s.node.Ages(now)
	add("shallot_table_age_seconds", "", "", table.Seconds())
	add("shallot_store_age_seconds", "", "", store.Seconds())
	add("shallot_table_version", "", "", float64(s.node.Known().Version))
	add("shallot_store_revision", "", "", float64(s.node.Known().Revision))
	load := s.node.Load()
	add("shallot_own_running", "", "", float64(load.Running))
	add("shallot_own_queued", "", "", float64(load.Queued))
	add("shallot_own_limit", "", "", float64(load.Limit))
	services, shares := s.node.Report()
	for _, v := range services {
		add("shallot_service_slots", "service", v.Service, v.Slots)
		add("shallot_service_busy", "service", v.Service, v.Busy)
		add("shallot_service_backlog", "service", v.Service, v.Backlog)
	}
	for _, v := range shares {
		add("shallot_entry_share_ratio", "route", s.node.RouteName(v.Route), v.Share)
	}
	for _, v := range s.node.Repeats(now) {
		add("shallot_repeats_arrived", "service", v.Service, v.Arrived)
		add("shallot_repeats_allowed", "service", v.Service, v.Allowed)
		add("shallot_repeats_left", "service", v.Service, v.Left)
	}
	for _, p := range s.node.Peers(now) {
		add("shallot_heartbeat_age_seconds", "instance", p.Instance, p.BeatAge.Seconds())
		add("shallot_faults_ratio", "instance", p.Instance, p.Faults)
		add("shallot_ejected", "instance", p.Instance, one(p.Ejected))
		add("shallot_instance_running", "instance", p.Instance, float64(p.Load.Running))
		add("shallot_instance_limit", "instance", p.Instance, float64(p.Load.Limit))
	}
	slices.SortStableFunc(out, func(a, b metrics.Level) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// one is 1 for true.
func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
