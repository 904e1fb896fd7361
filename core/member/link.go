package member

import "github.com/shallotspool/shallotspool/core/chart"

// The events and actions of the chart of links, in the order of linkChart.
const (
	linkOpened chart.Event = iota
	linkWentDown
	linkFellSilent
	linkHeard
)

const (
	linkGreet chart.Action = iota
	linkAvoid
	linkUse
)

var linkChart = chart.MustBuiltIn("link", chart.Names{
	Events:  []string{"opened", "went_down", "fell_silent", "heard"},
	Actions: []string{"greet", "avoid", "use"},
})

// fire takes one event of p's link and reports whether p is to be greeted.
func (v *View) fire(p *Peer, e chart.Event) (greet bool) {
	for _, a := range p.link.Fire(e) {
		switch a {
		case linkGreet:
			greet = true
		case linkAvoid:
			p.avoid = true
			v.epoch++
		case linkUse:
			p.avoid = false
			v.epoch++
		}
	}
	return greet
}
