// Package chart interprets state charts that stand in data files. A chart is
// checked when it is loaded and compiled to a table, so that firing an event
// costs one look-up. A Chart is immutable; a Machine is not safe for concurrent
// use.
package chart

// Event is the index of an event in the names that Load was given.
type Event uint8

// Action is the index of an action in the names that Load was given.
type Action uint8

// State is the index of a state in the chart's own order.
type State uint8

// Names are the events and actions that the program knows, in the order of its
// constants. A chart has to use them all and no others.
type Names struct {
	Events  []string
	Actions []string
}

// Chart is one compiled chart.
type Chart struct {
	name    string
	states  []string
	initial State
	final   []bool
	// table holds, for each state, one transition for each event.
	table [][]transition
}

type transition struct {
	to      State
	actions []Action
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// State returns the named state, which has to exist: the program binds its
// constants with it at start.
func (c *Chart) State(name string) State {
	for i, s := range c.states {
		if s == name {
			return State(i)
		}
	}
	panic("chart " + c.name + " has no state " + name)
}

// Machine is one thing that lives by a chart.
type Machine struct {
	chart *Chart
	state State
}

// Start returns a machine in the chart's initial state.
func (c *Chart) Start() Machine { return Machine{chart: c, state: c.initial} }

// Fire takes one event and returns the actions to run, in order. The caller
// must not change the slice.
func (m *Machine) Fire(e Event) []Action {
	t := &m.chart.table[m.state][e]
	m.state = t.to
	return t.actions
}

// State returns where the machine is.
func (m *Machine) State() State { return m.state }

// StateName returns the name of where the machine is.
func (m *Machine) StateName() string { return m.chart.states[m.state] }

// Final tells whether the machine has come to its end.
func (m *Machine) Final() bool { return m.chart.final[m.state] }
