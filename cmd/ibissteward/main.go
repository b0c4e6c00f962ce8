// Command ibissteward is the control process of an entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/steward"
	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// errSettings marks errors that require a change of the settings file; they lead to exit code exitSettings.
var errSettings = errors.New("settings")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ibissteward:", err)
		if errors.Is(err, errSettings) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

func command() *cobra.Command {
	var path string
	var verbose bool
	c := &cobra.Command{
		Use:   "ibissteward --settings FILE",
		Short: "Control process of an ibistrail entry VM",
		Long: `ibissteward reads the platform's log, tracks which nodes are alive, orders weights, and sends
the configuration in force to the gate of its VM. It stores nothing on disk and can be stopped with
SIGTERM and restarted at any time.`,
		Example:       "  ibissteward --settings steward.json",
		Version:       process.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), path, verbose) },
	}
	c.Flags().StringVar(&path, "settings", "", "JSON file with the process settings")
	c.Flags().BoolVar(&verbose, "verbose", false, "log debug events too")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is defined above
	}
	return c
}

func run(ctx context.Context, path string, verbose bool) error {
	set, err := settings.LoadSteward(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errSettings, err)
	}
	token, err := set.PeerToken()
	if err != nil {
		return fmt.Errorf("%w: %w", errSettings, err)
	}
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	s, err := steward.New(steward.Options{
		Settings: *set, PeerToken: token, Metrics: process.NewMetrics(),
		Log:    process.NewLogger(os.Stderr, level, "ibissteward", set.ID),
		Dialer: process.NewDialer(set.Unreachable),
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errSettings, err)
	}
	return s.Run(ctx, steward.Listeners{})
}
