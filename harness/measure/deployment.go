package measure

import (
	"time"

	"github.com/shallotspool/shallotspool/harness/sim"
)

// deployment describes the services of an example document: their size, and the
// capacity and load of the whole chain.
type deployment struct {
	name         string
	documentFile string
	dataCentres  int
	upstreams    map[string]sim.UpstreamConfig
	// readRoute and writeRoute are the routes that callers use. capacity is the
	// number of requests per second that the whole chain can answer.
	readRoute  string
	writeRoute string
	capacity   float64
	// writeShare is the ratio of demand that goes to writeRoute.
	writeShare float64
	// services lists the services of the chain from that of readRoute to the
	// deepest one. Each of them has targetsPerService targets.
	services          []string
	targetsPerService int
	// chainDepth is the length of the longest chain of calls. If parallelCalls is
	// set, an upstream makes all calls for a request at once.
	chainDepth    int
	parallelCalls bool
}

// The mean working time of an upstream per request, without the time of its calls:
// for the services before the deepest one, and for the deepest one. An upstream
// holds its slot while it waits for its calls. With these times the deepest
// service, which is the smallest, is the bottleneck.
const (
	frontWorkTime = 10 * time.Millisecond
	deepWorkTime  = 50 * time.Millisecond
)

var deployments = map[string]deployment{
	"comics": {
		name: "comics", documentFile: "comics.yaml", dataCentres: 3, readRoute: "pullreg.lists", writeRoute: "reservo.reserve",
		upstreams: map[string]sim.UpstreamConfig{
			"pullreg": {Slots: 190, WorkTime: frontWorkTime}, "arrivo": {Slots: 190, WorkTime: frontWorkTime},
			"reservo": {Slots: 190, WorkTime: frontWorkTime}, "shopxfer": {Slots: 25, WorkTime: deepWorkTime},
		},
		capacity: 3 * 25 / deepWorkTime.Seconds(), writeShare: 0.05,
		services: []string{"pullreg", "arrivo", "reservo", "shopxfer"}, targetsPerService: 3, chainDepth: 4,
	},
	"charter": {
		name: "charter", documentFile: "charter.yaml", dataCentres: 4, readRoute: "calendar.trips", writeRoute: "bookings.book",
		upstreams: map[string]sim.UpstreamConfig{
			"calendar": {Slots: 55, WorkTime: frontWorkTime}, "conditions": {Slots: 55, WorkTime: frontWorkTime},
			"bookings": {Slots: 55, WorkTime: frontWorkTime}, "crewing": {Slots: 16, WorkTime: deepWorkTime},
		},
		capacity: 4 * 16 / deepWorkTime.Seconds(), writeShare: 0.05,
		services: []string{"calendar", "conditions", "bookings", "crewing"}, targetsPerService: 4, chainDepth: 4,
	},
}
