package command

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shallotspool/shallotspool/ctl/internal/client"
	"github.com/shallotspool/shallotspool/ctl/internal/table"
)

const (
	defaultTimeout = 2 * time.Second
	maxAddresses   = 5000
)

// statusFlags holds the flags that status and watch have in common.
type statusFlags struct {
	json    bool
	peers   bool
	timeout time.Duration
}

func (s *statusFlags) register(f *flag.FlagSet) {
	f.BoolVar(&s.json, "json", false, "print JSON instead of tables")
	f.BoolVar(&s.peers, "peers", false, "list the peers that each node knows, with their state")
	f.DurationVar(&s.timeout, "timeout", defaultTimeout, "how long to wait for each node")
}

func (a *app) statusCommand() *ffcli.Command {
	flags := a.newFlagSet("status")
	var s statusFlags
	s.register(flags)
	return &ffcli.Command{
		Name: "status", ShortUsage: "shallotctl status [flags] IP:PORT...",
		ShortHelp: "show the current status of nodes",
		LongHelp: `Each IP:PORT is a node's admin listener. Shows the document in force, a newer
document that was refused and the reason, the concurrency limit, requests in
flight and queued, refusals by class, peers, state charts, requests suspected of
crashing upstreams, and violated invariants.
Exit code 1 means that a node could not be read.`,
		FlagSet: flags, Options: parseOptions(),
		Exec: func(ctx context.Context, addresses []string) error {
			if err := checkAddresses(addresses); err != nil {
				return err
			}
			return a.printStatus(client.New(s.timeout).FetchStatuses(ctx, addresses), s)
		},
	}
}

func checkAddresses(addresses []string) error {
	if len(addresses) == 0 || len(addresses) > maxAddresses {
		return usageErrorf("give 1 to %d addresses of admin listeners, as IP:PORT", maxAddresses)
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			return usageErrorf("%q is not IP:PORT", address)
		}
	}
	return nil
}

// printStatus prints the results. It returns the error of writing them or, if there
// is none, the combined errors of the nodes that could not be read.
func (a *app) printStatus(results []client.Result, s statusFlags) error {
	write := a.printTables
	if s.json {
		write = a.printJSON
	}
	if err := write(results, s); err != nil {
		return err
	}
	var failed error
	for _, result := range results {
		failed = errors.CombineErrors(failed, result.Err)
	}
	return failed
}

func (a *app) printTables(results []client.Result, s statusFlags) error {
	return errors.Wrap(table.WriteStatus(a.stdout, results, s.peers), "write output")
}

func (a *app) printJSON(results []client.Result, _ statusFlags) error {
	encoder := json.NewEncoder(a.stdout)
	for _, result := range results {
		if result.Err != nil {
			continue
		}
		if err := encoder.Encode(result.Status); err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	return nil
}
