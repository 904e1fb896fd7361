package membership

import "github.com/shallotspool/shallotspool/core/statechart"

// Events of the state chart "link", in the order of linkChart.
const (
	eventOpened statechart.Event = iota
	eventWentDown
	eventFellSilent
	eventHeard
)

// Actions of the state chart "link", in the order of linkChart.
const (
	actionGreet statechart.Action = iota
	actionAvoid
	actionUse
)

var linkChart = statechart.MustLoadBuiltIn("link", statechart.Names{
	Events:  []string{"opened", "went_down", "fell_silent", "heard"},
	Actions: []string{"greet", "avoid", "use"},
})

// fireLinkEvent passes an event to p's link and reports whether p must be
// greeted: sent this node's state and document version.
func (v *View) fireLinkEvent(p *Peer, e statechart.Event) (greet bool) {
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
