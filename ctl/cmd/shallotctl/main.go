// Command shallotctl is the operators' client: it checks, explains and compares
// documents, and shows what nodes do. It changes nothing; operators drive the
// system through documents alone.
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
