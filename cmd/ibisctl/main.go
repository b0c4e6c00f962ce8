// Command ibisctl is the operators' command line: it checks, applies and watches the two tables,
// and shows the state of the nodes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibistrail/ibistrail/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
