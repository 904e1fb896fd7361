package command

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/ctl/internal/client"
)

const (
	defaultInterval = 2 * time.Second
	minInterval     = 200 * time.Millisecond
)

func (a *app) watch() *ffcli.Command {
	flags := a.flags("watch")
	var s statusFlags
	s.register(flags)
	interval := flags.Duration("interval", defaultInterval, "time between two looks")
	count := flags.Int("count", 0, "number of looks; 0 goes on until interrupted")
	return &ffcli.Command{
		Name: "watch", ShortUsage: "shallotctl watch [flags] IP:PORT...",
		ShortHelp: "show the status of nodes again and again",
		FlagSet:   flags, Options: options(),
		Exec: func(ctx context.Context, addresses []string) error {
			if err := checkAddresses(addresses); err != nil {
				return err
			}
			if *interval < minInterval {
				return usagef("interval %s is shorter than %s", *interval, minInterval)
			}
			return a.watchNodes(ctx, addresses, s, *interval, *count)
		},
	}
}

// watchNodes prints until ctx ends or count looks were taken. A node that gives
// no status is shown as such and asked again.
func (a *app) watchNodes(ctx context.Context, addresses []string, s statusFlags, interval time.Duration, count int) error {
	c := client.New(s.timeout)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for look := 1; ; look++ {
		if !s.json {
			if err := a.printf("-- %s\n", time.Now().UTC().Format(time.RFC3339)); err != nil {
				return err
			}
		}
		_ = a.printStatus(c.Statuses(ctx, addresses), s)
		if look == count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
