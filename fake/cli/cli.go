// Package cli implements the command line of ibisfake.
package cli

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/ibistrail/ibistrail/fake/deployment"
	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/process"
	"github.com/spf13/cobra"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "ibisfake",
		Short:         "Run stand-ins of the platform's services and of targets",
		Long:          "ibisfake runs stand-ins of the platform's services, of model engines and of plain services, with fault switches over HTTP.",
		Version:       process.Version,
		SilenceUsage:  true,
		SilenceErrors: false,
		Example: `  ibisfake plan --preset small --dir run
  ibisfake platform --settings run/platform.json
  ibisfake fault drafting-models-1 '{"crash":true}' --dir run`,
	}
	root.AddCommand(
		standinsCommand("platform", "Run the log service, the weight store and the list of VMs", deployment.FilePlatform, deployment.StartPlatform),
		standinsCommand("engines", "Run several model engines in one process", deployment.FileEngines, deployment.StartEngines),
		standinsCommand("services", "Run several plain services in one process", deployment.FileServices, deployment.StartServices),
		engineCommand(), planCommand(), faultCommand(), journalCommand(), publishCommand(), versionCommand(),
	)
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs, Example: "  ibisfake version",
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), process.Version) },
	}
}

// standinsCommand returns a command that runs stand-ins from a settings file until its context ends.
func standinsCommand[S any](use, short, file string, start func(S) (*deployment.Standins, error)) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		Example: fmt.Sprintf("  ibisfake %s --settings run/%s", use, file),
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := deployment.Load[S](path)
			if err != nil {
				return err
			}
			return run(cmd, use, func() (*deployment.Standins, error) { return start(s) })
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, written by ibisfake plan")
	_ = cmd.MarkFlagRequired("settings") // the flag exists
	return cmd
}

// run serves stand-ins until the context of cmd ends.
func run(cmd *cobra.Command, name string, start func() (*deployment.Standins, error)) error {
	log := process.NewLogger(cmd.ErrOrStderr(), slog.LevelInfo, "ibisfake", name)
	s, err := start()
	if err != nil {
		return err
	}
	log.Info("started", "event", "started")
	waitUntilDone(cmd.Context())
	s.Close()
	log.Info("stopped", "event", "stopped")
	return nil
}

func waitUntilDone(ctx context.Context) { <-ctx.Done() }

func engineCommand() *cobra.Command {
	var s deployment.EngineSettings
	var admin string
	cmd := &cobra.Command{
		Use: "engine", Short: "Run one model engine", Args: cobra.NoArgs,
		Example: "  ibisfake engine --name e1 --model drafting --address 127.0.0.1:9001 --store http://127.0.0.1:9100",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, s.Options.Name, func() (*deployment.Standins, error) {
				return deployment.StartEngines(deployment.EnginesSettings{AdminAddress: admin, Engines: []deployment.EngineSettings{s}})
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&s.Address, "address", "127.0.0.1:0", "host:port of the engine")
	f.StringVar(&admin, "admin", "127.0.0.1:0", "host:port of the admin server with the fault switches, which stays up while the engine is down")
	f.StringVar(&s.Options.Name, "name", "engine", "name of the engine")
	f.StringVar(&s.Options.Model, "model", "drafting", "name of the model")
	f.Int64Var(&s.Options.Version, "weights", 1, "weight version at the start; 0 loads none")
	f.StringVar(&s.Options.StoreURL, "store", "http://127.0.0.1:9100", "base URL of the weight store")
	f.BoolVar(&s.Options.FencingChecked, "fencing", false, "reject orders with an outdated fencing token")
	f.Int64Var(&s.Options.RestartMs, "restart-ms", 0, "delay in milliseconds until the engine restarts after a crash that a request caused; 0 stays down")
	f.IntVar(&s.Options.Rates.BatchLimit, "batch", engine.DefaultBatchLimit, "maximum number of concurrently running sequences")
	f.Float64Var(&s.Options.Rates.DecodeTokensPerSecond, "decode", engine.DefaultDecodeTokensPerSecond, "decode rate of a sequence that runs alone, in tokens per second")
	return cmd
}

func planCommand() *cobra.Command {
	var o deployment.Options
	var preset, dir string
	cmd := &cobra.Command{
		Use: "plan", Short: "Write the settings, tables and addresses of a whole deployment", Args: cobra.NoArgs,
		Example: "  ibisfake plan --preset magnolia --dir run --first-gate 127.0.0.1:8080",
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Preset = deployment.Preset(preset)
			d, err := deployment.Plan(o)
			if err != nil {
				return err
			}
			if err := d.Write(dir); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d zones, %d nodes, %d engines, %d services in %s\n", d.Customer, len(d.Zones), len(d.Gates), len(d.Endpoints.Engines), len(d.Endpoints.Services), dir)
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&preset, "preset", string(deployment.PresetSmall), "small, magnolia or songhan")
	f.StringVar(&dir, "dir", "run", "directory to write to")
	f.StringVar(&o.FirstGate, "first-gate", "", "host:port at which the first gate serves callers; empty takes a free port")
	f.StringVar(&o.Host, "host", deployment.DefaultHost, "IP address that all processes listen on")
	f.IntVar(&o.VMsPerZone, "vms-per-zone", 0, "entry VMs in each availability zone; 0 means the preset's")
	f.BoolVar(&o.Debug, "debug", false, "enable the test switches of the nodes")
	f.BoolVar(&o.FencingUnchecked, "fencing-unchecked", false, "engines ignore fencing tokens")
	f.Int64Var(&o.RetentionMs, "retention-ms", 0, "retention of the log in milliseconds; 0 means the default")
	f.Int64Var(&o.VMListLagMs, "vm-list-lag-ms", 0, "lag of the list of VMs in milliseconds; 0 means the default")
	f.Int64Var(&o.LeaseTTLMs, "lease-ttl-ms", 0, "time to live of leases in milliseconds; 0 means the default")
	f.Int64Var(&o.BalancerLagMs, "balancer-lag-ms", 0, "lag of the load balancer at a planned stop in milliseconds; 0 means the default")
	f.Int64Var(&o.FetchMs, "fetch-ms", 0, "duration of a fetch of weights in milliseconds; 0 means the default")
	f.Int64Var(&o.RestartMs, "restart-ms", 0, "delay in milliseconds until an engine restarts after a crash that a request caused; 0 stays down")
	f.Float64Var(&o.Rates.DecodeTokensPerSecond, "decode", 0, "decode rate of a sequence that runs alone, in tokens per second; 0 means the default")
	return cmd
}
