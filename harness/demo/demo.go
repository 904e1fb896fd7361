// Package demo shows real nodes over loopback TCP through normal load, a surge
// on top of a slow deep service, and recovery, and checks what was promised.
package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/harness/fleet"
)

//go:embed document.yaml
var documentText string

// The deep service is the narrow one; all capacities are in calls per second.
const (
	deepSlots   = 6
	deepTargets = 2
	deepWork    = 20 * time.Millisecond
	deepSlow    = 40 * time.Millisecond
	capacity    = deepTargets * deepSlots * int(time.Second/deepWork)
	slowed      = deepTargets * deepSlots * int(time.Second/deepSlow)
	normalRate  = capacity / 2
	surgeRate   = 5 * slowed
)

// The times of the run, counted from the first call.
const (
	warmEnd   = 3 * time.Second
	changeAt  = 4 * time.Second
	stopAt    = 5 * time.Second
	restartAt = 6 * time.Second
	surgeAt   = 8 * time.Second
	surgeEnd  = 13 * time.Second
	runEnd    = 20 * time.Second
)

// stopped is the target whose node is stopped and started under load.
const stopped = "arrivo-2"

// ErrPromise means that something promised did not hold.
var ErrPromise = errors.New("a promise was broken")

// Run runs the demonstration; progress goes to progress, the result to out.
func Run(out, progress io.Writer) error {
	say := func(format string, args ...any) { _, _ = fmt.Fprintf(progress, format+"\n", args...) }
	say("starting 8 nodes of 4 services, each beside an upstream, on loopback")
	f, err := fleet.Start([]byte(documentText), map[string]fleet.Shape{
		"pullreg": {Slots: 190, Work: time.Millisecond}, "arrivo": {Slots: 190, Work: time.Millisecond},
		"reservo": {Slots: 190, Work: time.Millisecond}, "shopxfer": {Slots: deepSlots, Work: deepWork},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	l := newLoad(f)
	go l.offer()
	r := result{}
	steps := []struct {
		at time.Duration
		do func() error
	}{
		{warmEnd, func() error { say("normal load: %d calls/s, 4 services deep", normalRate); return nil }},
		{changeAt, func() error {
			say("publishing version 2 of the document")
			f.Platform.Publish(2, []byte(strings.Replace(documentText, "version: 1", "version: 2", 1)))
			return nil
		}},
		{stopAt, func() error {
			say("stopping %s gracefully under load", stopped)
			return f.Node(stopped).Stop(context.Background())
		}},
		{restartAt, func() error { say("starting %s again", stopped); return f.StartNode(stopped) }},
		{surgeAt, func() error {
			say("surge: %d calls/s while shopxfer is slowed to %d calls/s", surgeRate, slowed)
			r.changed = f.InForce(2)
			setWork(f, deepSlow)
			return nil
		}},
		{surgeEnd, func() error { say("surge over, shopxfer as fast as before"); setWork(f, deepWork); return nil }},
		{runEnd, func() error { say("done, waiting for the last answers"); return nil }},
	}
	for _, s := range steps {
		time.Sleep(time.Until(l.began.Add(s.at)))
		if err := s.do(); err != nil {
			return err
		}
	}
	l.wait()
	r.violations = f.Violations()
	say("refused: %s", reasons(l.records))
	return r.report(l, out)
}

func setWork(f *fleet.Fleet, work time.Duration) {
	for _, target := range []string{"shopxfer-1", "shopxfer-2"} {
		f.Upstream(target).Work.Store(int64(work))
	}
}
