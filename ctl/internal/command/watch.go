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

func (a *app) watchCommand() *ffcli.Command {
	flags := a.newFlagSet("watch")
	var s statusFlags
	s.register(flags)
	interval := flags.Duration("interval", defaultInterval, "time between two queries")
	count := flags.Int("count", 0, "number of queries; 0 means until interrupted")
	return &ffcli.Command{
		Name: "watch", ShortUsage: "shallotctl watch [flags] IP:PORT...",
		ShortHelp: "show the status of nodes at regular intervals",
		FlagSet:   flags, Options: parseOptions(),
		Exec: func(ctx context.Context, addresses []string) error {
			if err := checkAddresses(addresses); err != nil {
				return err
			}
			if *interval < minInterval {
				return usageErrorf("interval %s is shorter than %s", *interval, minInterval)
			}
			return a.watchNodes(ctx, addresses, s, *interval, *count)
		},
	}
}

// watchNodes prints the status of the nodes once per interval, until ctx is done
// or it has been printed count times; a count of 0 means no limit. A node that
// cannot be read is shown as unreachable, or left out with -json, and is queried
// again in the next round.
func (a *app) watchNodes(ctx context.Context, addresses []string, s statusFlags, interval time.Duration, count int) error {
	c := client.New(s.timeout)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		if !s.json {
			if err := a.printf("-- %s\n", time.Now().UTC().Format(time.RFC3339)); err != nil {
				return err
			}
		}
		_ = a.printStatus(c.FetchStatuses(ctx, addresses), s)
		if round == count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
