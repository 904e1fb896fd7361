package member

import "github.com/shallotspool/shallotspool/core/chart"

// Events of the state chart "link", in the order of linkChart.
const (
	eventOpened chart.Event = iota
	eventWentDown
	eventFellSilent
	eventHeard
)

// Actions of the state chart "link", in the order of linkChart.
const (
	actionGreet chart.Action = iota
	actionAvoid
	actionUse
)

var linkChart = chart.MustLoadBuiltIn("link", chart.Names{
	Events:  []string{"opened", "went_down", "fell_silent", "heard"},
	Actions: []string{"greet", "avoid", "use"},
})

// fireLinkEvent passes an event to p's link and reports whether p must be
// greeted.
func (v *View) fireLinkEvent(p *Peer, e chart.Event) (greet bool) {
	for _, a := range p.link.Fire(e) {
		switch a {
		case actionGreet:
			greet = true
		case actionAvoid:
			p.unreachable = true
			v.epoch++
		case actionUse:
			p.unreachable = false
			v.epoch++
		}
	}
	return greet
}
