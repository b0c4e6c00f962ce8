// Command ibisfake runs stand-ins of the platform and of targets, and plans deployments on loopback.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibistrail/ibistrail/fake/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cli.New().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}
