// Command ibisload drives deployments with load, checks and measures what callers and trainers get.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibistrail/ibistrail/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := load.Main(ctx)
	stop()
	os.Exit(status)
}
