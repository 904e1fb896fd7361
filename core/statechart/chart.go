// Package statechart runs finite state machines that are defined in YAML files. A
// chart is checked when it is loaded and compiled to a transition table, so that
// handling an event costs one table look-up. A Chart is immutable; a Machine is not
// safe for concurrent use.
package statechart

// Event identifies an event by its index in Names.Events.
type Event uint8

// Action identifies an action by its index in Names.Actions.
type Action uint8

// State identifies a state by its index in the chart's file.
type State uint8

// Names lists the events and actions that the program supports, in the order of
// its Event and Action constants. A chart must use all of them and no others.
type Names struct {
	Events  []string
	Actions []string
}

// Chart is a compiled state chart.
type Chart struct {
	name    string
	states  []string
	initial State
	final   []bool
	// table holds the transitions, indexed by state and then by event.
	table [][]transition
}

// transition is the reaction of one state to one event. For an ignored event, to is
// the state itself and there are no actions.
type transition struct {
	to      State
	actions []Action
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// MustState returns the state of the given name. It panics if there is none: programs
// call it during initialization to map the states to their own constants.
func (c *Chart) MustState(name string) State {
	for i, s := range c.states {
		if s == name {
			return State(i)
		}
	}
	panic("chart " + c.name + " has no state " + name)
}

// Machine is one instance of a chart with its current state.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a new machine in the initial state.
func (c *Chart) NewMachine() Machine { return Machine{chart: c, state: c.initial} }

// Fire handles one event: it moves the machine to its next state and returns the
// actions to run, in order. The caller must not modify the slice.
func (m *Machine) Fire(e Event) []Action {
	t := &m.chart.table[m.state][e]
	m.state = t.to
	return t.actions
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// StateName returns the name of the current state.
func (m *Machine) StateName() string { return m.chart.states[m.state] }

// IsFinal reports whether the current state is a final one.
func (m *Machine) IsFinal() bool { return m.chart.final[m.state] }
