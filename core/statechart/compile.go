package statechart

import (
	"fmt"
	"slices"
)

// maxStates bounds the number of states in a chart; State is a byte.
const maxStates = 64

// compiler turns a chartFile into a Chart and collects the problems it finds.
type compiler struct {
	file     *chartFile
	names    Names
	states   []string
	problems []string
}

// report records a problem.
func (c *compiler) report(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// compile returns the compiled chart, which is valid only if no problem was
// reported.
func (c *compiler) compile() *Chart {
	c.states = c.file.stateNames()
	chart := &Chart{name: c.file.Chart, states: c.states, final: make([]bool, len(c.states))}
	if chart.name == "" {
		c.report("the chart has no name")
	}
	if len(c.states) == 0 || len(c.states) > maxStates {
		c.report("has %d states, outside 1 to %d", len(c.states), maxStates)
		return nil
	}
	c.checkDuplicates("state", c.states)
	chart.initial = State(c.find("initial state", c.states, c.file.Initial))
	for _, name := range c.file.Final {
		chart.final[c.find("final state", c.states, name)] = true
	}
	for i := range c.file.States {
		chart.table = append(chart.table, c.compileState(&c.file.States[i], State(i), chart.final[i]))
	}
	c.checkReachable(chart)
	c.checkUsed(chart)
	return chart
}

// find returns the index of name in known, or 0 after reporting an unknown name;
// kind says in the report what was looked for.
func (c *compiler) find(kind string, known []string, name string) int {
	i, ok := indexOf(known, name)
	if !ok {
		c.report("unknown %s %q", kind, name)
	}
	return i
}

// checkDuplicates reports names that occur more than once in list.
func (c *compiler) checkDuplicates(kind string, list []string) {
	seen := map[string]bool{}
	for _, name := range list {
		if seen[name] {
			c.report("duplicate %s %q", kind, name)
		}
		seen[name] = true
	}
}

// compileState returns the table row of one state. Every event must either have a
// transition or be listed under ignore, so that none is forgotten; a final state
// ignores all events and has no transitions.
func (c *compiler) compileState(s *stateEntry, self State, final bool) []transition {
	row := make([]transition, len(c.names.Events))
	mentioned := make([]bool, len(c.names.Events))
	for i := range row {
		row[i].to = self
	}
	for _, t := range s.On {
		event := c.markEvent(s, mentioned, t.Event)
		row[event].to = State(c.find("state", c.states, t.To))
		for _, name := range t.Do {
			row[event].actions = append(row[event].actions, Action(c.find("action", c.names.Actions, name)))
		}
	}
	for _, name := range s.Ignore {
		c.markEvent(s, mentioned, name)
	}
	if final && len(s.On) > 0 {
		c.report("final state %q has transitions", s.Name)
	}
	for i, ok := range mentioned {
		if !ok && !final {
			c.report("state %q neither handles nor ignores event %q", s.Name, c.names.Events[i])
		}
	}
	return row
}

// markEvent records in mentioned that s mentions an event and returns the index of
// the event. It reports an event that is unknown or mentioned twice.
func (c *compiler) markEvent(s *stateEntry, mentioned []bool, name string) int {
	event := c.find("event", c.names.Events, name)
	if name == c.names.Events[event] && mentioned[event] {
		c.report("state %q lists event %q twice", s.Name, name)
	}
	if name == c.names.Events[event] {
		mentioned[event] = true
	}
	return event
}

// checkReachable reports the states that no sequence of events leads to.
func (c *compiler) checkReachable(chart *Chart) {
	reached := make([]bool, len(chart.states))
	reached[chart.initial] = true
	queue := []State{chart.initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, t := range chart.table[s] {
			if !reached[t.to] {
				reached[t.to] = true
				queue = append(queue, t.to)
			}
		}
	}
	for i, ok := range reached {
		if !ok {
			c.report("state %q is unreachable", chart.states[i])
		}
	}
}

// checkUsed reports events that cause no transition in any state, and actions that
// no transition runs.
func (c *compiler) checkUsed(chart *Chart) {
	var actions []string
	events := map[string]bool{}
	for _, s := range c.file.States {
		for _, t := range s.On {
			events[t.Event] = true
			actions = append(actions, t.Do...)
		}
	}
	for _, name := range c.names.Events {
		if !events[name] {
			c.report("event %q has no transition", name)
		}
	}
	for _, name := range c.names.Actions {
		if !slices.Contains(actions, name) {
			c.report("no transition runs action %q", name)
		}
	}
}
