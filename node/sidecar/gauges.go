package sidecar

import (
	"cmp"
	"slices"

	"github.com/shallotspool/shallotspool/node/internal/metrics"
)

// gauges returns the current values on which the node bases its decisions, sorted by
// name.
func (s *Sidecar) gauges() []metrics.GaugeSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []metrics.GaugeSample
	add := func(name, label, labelValue string, current float64) {
		out = append(out, metrics.GaugeSample{Name: name, LabelName: label, LabelValue: labelValue, Current: current})
	}
	tableAge, storeAge := s.node.TableAndStoreAge(now)
	add("shallot_table_age_seconds", "", "", tableAge.Seconds())
	add("shallot_store_age_seconds", "", "", storeAge.Seconds())
	add("shallot_table_version", "", "", float64(s.node.StoreVersion().Version))
	add("shallot_store_era", "", "", float64(s.node.StoreVersion().Position.Era))
	add("shallot_store_revision", "", "", float64(s.node.StoreVersion().Position.Revision))
	add("shallot_state_fetch_failing_seconds", "", "", s.node.CatchUpFailingFor(now).Seconds())
	relay := s.node.RelayReport(now)
	add("shallot_relay_collecting", "", "", boolValue(relay.Collecting))
	add("shallot_relay_round_age_seconds", "", "", relay.RoundAge.Seconds())
	add("shallot_relay_nodes", "scope", "own", float64(relay.OwnNodes))
	add("shallot_relay_nodes", "scope", "others", float64(relay.OtherNodes))
	crashes := s.node.CrashReport(now)
	add("shallot_crash_records", "", "", float64(crashes.Held))
	add("shallot_crash_records_blocked", "", "", float64(crashes.Blocked))
	add("shallot_crash_records_reported", "", "", float64(crashes.Reported))
	load := s.node.Load()
	add("shallot_own_running", "", "", float64(load.Running))
	add("shallot_own_queued", "", "", float64(load.Queued))
	add("shallot_own_limit", "", "", float64(load.Limit))
	if notice := s.node.Notice(); notice.Limited {
		add("shallot_own_rate_limit", "", "", notice.RateLimit)
	}
	services, shares := s.node.PlanReport()
	for _, service := range services {
		add("shallot_service_slots", "service", service.Service, service.Slots)
		add("shallot_service_busy", "service", service.Service, service.SlotsInUse)
		add("shallot_service_backlog", "service", service.Service, service.Backlog)
	}
	for _, share := range shares {
		add("shallot_entry_share_ratio", "route", s.node.RouteName(share.Route), share.Share)
	}
	for _, d := range s.node.DemandReports() {
		route := s.node.RouteName(d.Route)
		add("shallot_fleet_offered_per_second", "route", route, d.Offered)
		add("shallot_fleet_admitted_per_second", "route", route, d.Admitted)
		add("shallot_fleet_served_per_second", "route", route, d.Served)
	}
	for _, retries := range s.node.RetryReports(now) {
		add("shallot_repeats_arrived", "service", retries.Service, retries.Arrived)
		add("shallot_repeats_allowed", "service", retries.Service, retries.Allowed)
		add("shallot_repeats_left", "service", retries.Service, retries.Left)
	}
	for _, refused := range s.node.RefusedRetries() {
		add("shallot_repeats_refused_total", "cause", refused.Cause.String(), float64(refused.Count))
	}
	requestMemory := s.bodyMemory.UsedByRequests()
	add("shallot_request_memory_bytes", "", "", float64(requestMemory))
	add("shallot_response_memory_bytes", "", "", float64(s.bodyMemory.Used()-requestMemory))
	add("shallot_body_memory_limit_bytes", "", "", float64(s.bodyMemory.Limit()))
	add("shallot_uptime_seconds", "", "", now.Seconds())
	for _, peer := range s.node.PeerReports(now) {
		add("shallot_heartbeat_age_seconds", "instance", peer.Instance, peer.HeartbeatAge.Seconds())
		add("shallot_faults_ratio", "instance", peer.Instance, peer.FaultShare)
		add("shallot_ejected", "instance", peer.Instance, boolValue(peer.Ejected))
		add("shallot_instance_running", "instance", peer.Instance, float64(peer.Load.Running))
		add("shallot_instance_limit", "instance", peer.Instance, float64(peer.Load.Limit))
	}
	slices.SortStableFunc(out, func(a, b metrics.GaugeSample) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
