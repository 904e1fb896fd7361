// Command shallotctl is the operators' client. It validates, explains and
// compares documents, shows the status of nodes, traces requests through logs and
// renders reports. It cannot change a node: operators change the system only by
// publishing documents.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/shallotspool/shallotspool/ctl/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
