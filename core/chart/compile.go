package chart

import (
	"fmt"
	"slices"
)

// maxStates bounds a chart; State is a byte.
const maxStates = 64

// loader compiles one file and collects what is wrong with it.
type loader struct {
	file     *file
	names    Names
	states   []string
	problems []string
}

func (l *loader) problem(format string, args ...any) {
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

func (l *loader) compile() *Chart {
	l.states = l.file.stateNames()
	c := &Chart{name: l.file.Chart, states: l.states, final: make([]bool, len(l.states))}
	if c.name == "" {
		l.problem("no name")
	}
	if len(l.states) == 0 || len(l.states) > maxStates {
		l.problem("has %d states, outside 1 to %d", len(l.states), maxStates)
		return nil
	}
	l.checkTwice("state", l.states)
	c.initial = State(l.find("initial state", l.states, l.file.Initial))
	for _, name := range l.file.Final {
		c.final[l.find("final state", l.states, name)] = true
	}
	for i := range l.file.States {
		c.table = append(c.table, l.row(&l.file.States[i], State(i), c.final[i]))
	}
	l.checkReachable(c)
	l.checkUsed(c)
	return c
}

// find returns the index of name in known; an unknown one is a problem.
func (l *loader) find(kind string, known []string, name string) int {
	i, ok := indexOf(known, name)
	if !ok {
		l.problem("unknown %s %q", kind, name)
	}
	return i
}

func (l *loader) checkTwice(kind string, list []string) {
	seen := map[string]bool{}
	for _, name := range list {
		if seen[name] {
			l.problem("%s %q stands twice", kind, name)
		}
		seen[name] = true
	}
}

// row compiles one state. Each event needs a transition or has to be ignored by
// name; a final state ignores all.
func (l *loader) row(s *fileState, self State, final bool) []transition {
	row := make([]transition, len(l.names.Events))
	named := make([]bool, len(l.names.Events))
	for i := range row {
		row[i].to = self
	}
	for _, t := range s.On {
		e := l.event(s, named, t.Event)
		row[e].to = State(l.find("state", l.states, t.To))
		for _, name := range t.Do {
			row[e].actions = append(row[e].actions, Action(l.find("action", l.names.Actions, name)))
		}
	}
	for _, name := range s.Ignore {
		l.event(s, named, name)
	}
	if final && len(s.On) > 0 {
		l.problem("final state %q has transitions", s.Name)
	}
	for i, ok := range named {
		if !ok && !final {
			l.problem("state %q says nothing of event %q", s.Name, l.names.Events[i])
		}
	}
	return row
}

// event notes that s names an event, and returns its index.
func (l *loader) event(s *fileState, named []bool, name string) int {
	e := l.find("event", l.names.Events, name)
	if name == l.names.Events[e] && named[e] {
		l.problem("state %q names event %q twice", s.Name, name)
	}
	if name == l.names.Events[e] {
		named[e] = true
	}
	return e
}

func (l *loader) checkReachable(c *Chart) {
	reached := make([]bool, len(c.states))
	reached[c.initial] = true
	open := []State{c.initial}
	for len(open) > 0 {
		s := open[0]
		open = open[1:]
		for _, t := range c.table[s] {
			if !reached[t.to] {
				reached[t.to] = true
				open = append(open, t.to)
			}
		}
	}
	for i, ok := range reached {
		if !ok {
			l.problem("state %q cannot be reached", c.states[i])
		}
	}
}

// checkUsed refuses events without any transition and actions nobody runs.
func (l *loader) checkUsed(c *Chart) {
	var actions []string
	events := map[string]bool{}
	for _, s := range l.file.States {
		for _, t := range s.On {
			events[t.Event] = true
			actions = append(actions, t.Do...)
		}
	}
	for _, name := range l.names.Events {
		if !events[name] {
			l.problem("event %q has no transition", name)
		}
	}
	for _, name := range l.names.Actions {
		if !slices.Contains(actions, name) {
			l.problem("no transition runs action %q", name)
		}
	}
}
