package measure

import (
	"time"

	"github.com/shallotspool/shallotspool/harness/sim"
)

// deployment is one user's services, in the sizes of the brief.
type deployment struct {
	name     string
	document string
	centres  int
	shape    map[string]sim.Shape
	// reads and writes are the entry routes; capacity is the requests a second
	// that the whole chain can answer.
	reads    string
	writes   string
	capacity float64
	// important is the share of demand that goes to writes.
	important float64
	// chain names the services from the entry of reads to the deepest one, each
	// of which has this many targets.
	chain   []string
	targets int
	// depth is the length of the longest chain of calls; parallel upstreams make
	// their calls at once.
	depth    int
	parallel bool
}

// The mean times an upstream works on a request itself. All chains end in the
// smallest service, and a layer holds its slot while it waits for the next; with
// these times the smallest service is the one that runs out first.
const (
	frontTime = 10 * time.Millisecond
	deepTime  = 50 * time.Millisecond
)

var deployments = map[string]deployment{
	"comics": {
		name: "comics", document: "comics.yaml", centres: 3, reads: "pullreg.lists", writes: "reservo.reserve",
		shape: map[string]sim.Shape{
			"pullreg": {Slots: 190, Time: frontTime}, "arrivo": {Slots: 190, Time: frontTime},
			"reservo": {Slots: 190, Time: frontTime}, "shopxfer": {Slots: 25, Time: deepTime},
		},
		capacity: 3 * 25 / deepTime.Seconds(), important: 0.05,
		chain: []string{"pullreg", "arrivo", "reservo", "shopxfer"}, targets: 3, depth: 4,
	},
	"charter": {
		name: "charter", document: "charter.yaml", centres: 4, reads: "calendar.trips", writes: "bookings.book",
		shape: map[string]sim.Shape{
			"calendar": {Slots: 55, Time: frontTime}, "conditions": {Slots: 55, Time: frontTime},
			"bookings": {Slots: 55, Time: frontTime}, "crewing": {Slots: 16, Time: deepTime},
		},
		capacity: 4 * 16 / deepTime.Seconds(), important: 0.05,
		chain: []string{"calendar", "conditions", "bookings", "crewing"}, targets: 4, depth: 4,
	},
}
