// Command ibisgate is the data plane: it forwards requests of callers and trainers to targets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibistrail/ibistrail/gate"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/spf13/cobra"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ibisgate:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path string
	var verbose bool
	c := &cobra.Command{
		Use:   "ibisgate --settings FILE",
		Short: "Forward requests of callers and trainers to engines and plain services",
		Long: `ibisgate serves callers and trainers over HTTP and sends their requests to the targets of the
tables that its steward has in force. SIGTERM starts a graceful shutdown that lets requests
in flight complete; a second SIGTERM skips the wait for the load balancer.`,
		Example:       "  ibisgate --settings /etc/ibistrail/gate.json",
		Version:       process.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(path, verbose) },
	}
	c.Flags().StringVarP(&path, "settings", "s", "", "JSON file with the process settings (required)")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "log debug events too")
	_ = c.MarkFlagRequired("settings") // the flag exists
	return c
}

func run(path string, verbose bool) error {
	s, err := settings.LoadGate(path)
	if err != nil {
		return err
	}
	token, err := s.PeerToken()
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	g, err := gate.New(gate.Options{Settings: *s, PeerToken: token, Log: process.NewLogger(os.Stderr, level, "ibisgate", s.ID)})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		g.SkipBalancerLag()
	}()
	return g.Run(ctx)
}
