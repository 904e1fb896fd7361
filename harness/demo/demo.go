// Package demo runs real nodes over loopback TCP through normal load, an overload
// surge while a deep service is slow, and recovery. It checks the guarantees that
// nodes give to callers.
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

// The deepest service, shopxfer, is the bottleneck. Capacities and rates are in calls
// per second.
const (
	deepSlots      = 6
	deepTargets    = 2
	deepWork       = 20 * time.Millisecond
	deepSlowWork   = 40 * time.Millisecond
	capacity       = deepTargets * deepSlots * int(time.Second/deepWork)
	slowedCapacity = deepTargets * deepSlots * int(time.Second/deepSlowWork)
	normalRate     = capacity / 2
	surgeRate      = 5 * slowedCapacity
)

// The times of the steps, counted from the start of the load.
const (
	warmUpEnd = 3 * time.Second
	publishAt = 4 * time.Second
	stopAt    = 5 * time.Second
	restartAt = 6 * time.Second
	surgeAt   = 8 * time.Second
	surgeEnd  = 13 * time.Second
	runEnd    = 20 * time.Second
)

// restartedTarget is the target whose node is stopped and restarted under load.
const restartedTarget = "arrivo-2"

// ErrGuaranteeViolated means that a guarantee was violated; the result line tells which.
var ErrGuaranteeViolated = errors.New("a guarantee was violated")

// Run runs the demonstration. It writes progress messages to progress and the result to
// out.
func Run(out, progress io.Writer) error {
	logf := func(format string, args ...any) { _, _ = fmt.Fprintf(progress, format+"\n", args...) }
	logf("starting 8 nodes of 4 services on loopback, each with its own upstream")
	f, err := fleet.Start([]byte(documentText), map[string]fleet.UpstreamConfig{
		"pullreg": {Slots: 190, WorkTime: time.Millisecond}, "arrivo": {Slots: 190, WorkTime: time.Millisecond},
		"reservo": {Slots: 190, WorkTime: time.Millisecond}, "shopxfer": {Slots: deepSlots, WorkTime: deepWork},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	l := newLoadGenerator(f)
	go l.generate()
	r := runResult{}
	steps := []struct {
		at time.Duration
		do func() error
	}{
		{warmUpEnd, func() error { logf("normal load: %d calls/s through 4 services", normalRate); return nil }},
		{publishAt, func() error {
			logf("publishing version 2 of the document")
			f.Platform.Publish(2, []byte(strings.Replace(documentText, "version: 1", "version: 2", 1)))
			return nil
		}},
		{stopAt, func() error {
			logf("stopping %s gracefully under load", restartedTarget)
			return f.Node(restartedTarget).Stop(context.Background())
		}},
		{restartAt, func() error { logf("restarting %s", restartedTarget); return f.StartNode(restartedTarget) }},
		{surgeAt, func() error {
			logf("surge: %d calls/s while shopxfer is slowed down to %d calls/s", surgeRate, slowedCapacity)
			r.documentChanged = f.DocumentInForce(2)
			setDeepWork(f, deepSlowWork)
			return nil
		}},
		{surgeEnd, func() error { logf("surge over, shopxfer back to normal speed"); setDeepWork(f, deepWork); return nil }},
		{runEnd, func() error { logf("load ended, waiting for open calls"); return nil }},
	}
	for _, s := range steps {
		time.Sleep(time.Until(l.startedAt.Add(s.at)))
		if err := s.do(); err != nil {
			return err
		}
	}
	l.wait()
	r.nodeViolations = f.ViolationCount()
	logf("refusals by reason: %s", formatRefusalReasons(l.records))
	return r.writeReport(l, out)
}

// setDeepWork sets the processing time of the upstreams of shopxfer.
func setDeepWork(f *fleet.Fleet, work time.Duration) {
	for _, target := range []string{"shopxfer-1", "shopxfer-2"} {
		f.Upstream(target).WorkTime.Store(int64(work))
	}
}
