// Command ibisload generates load on deployments, and checks and measures what callers and trainers receive.
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
