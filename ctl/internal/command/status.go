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

// statusFlags are what status and watch share.
type statusFlags struct {
	json    bool
	peers   bool
	timeout time.Duration
}

func (s *statusFlags) register(f *flag.FlagSet) {
	f.BoolVar(&s.json, "json", false, "print JSON instead of tables")
	f.BoolVar(&s.peers, "peers", false, "list what each node knows of its peers")
	f.DurationVar(&s.timeout, "timeout", defaultTimeout, "how long to wait for each node")
}

func (a *app) status() *ffcli.Command {
	flags := a.flags("status")
	var s statusFlags
	s.register(flags)
	return &ffcli.Command{
		Name: "status", ShortUsage: "shallotctl status [flags] IP:PORT...",
		ShortHelp: "show what nodes do now",
		LongHelp: `Each IP:PORT is a node's admin listener. Shows the document in force and the one
last refused with its reason, limit, calls in flight and waiting, refusals by
class, peers, state charts, suspected requests and broken invariants.
Exit code 1 tells that a node could not be read.`,
		FlagSet: flags, Options: options(),
		Exec: func(ctx context.Context, addresses []string) error {
			if err := checkAddresses(addresses); err != nil {
				return err
			}
			return a.printStatus(client.New(s.timeout).Statuses(ctx, addresses), s)
		},
	}
}

func checkAddresses(addresses []string) error {
	if len(addresses) == 0 || len(addresses) > maxAddresses {
		return usagef("give 1 to %d addresses of admin listeners, as IP:PORT", maxAddresses)
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			return usagef("%q is not IP:PORT", address)
		}
	}
	return nil
}

// printStatus prints the answers; its error names the nodes that gave none.
func (a *app) printStatus(answers []client.Answer, s statusFlags) error {
	print := a.printTables
	if s.json {
		print = a.printJSON
	}
	if err := print(answers, s); err != nil {
		return err
	}
	var failed error
	for _, answer := range answers {
		failed = errors.CombineErrors(failed, answer.Err)
	}
	return failed
}

func (a *app) printTables(answers []client.Answer, s statusFlags) error {
	return errors.Wrap(table.Status(a.out, answers, s.peers), "write output")
}

func (a *app) printJSON(answers []client.Answer, _ statusFlags) error {
	encoder := json.NewEncoder(a.out)
	for _, answer := range answers {
		if answer.Err != nil {
			continue
		}
		if err := encoder.Encode(answer.Status); err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	return nil
}
