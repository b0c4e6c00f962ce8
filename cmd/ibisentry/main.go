// Command ibisentry is the process of an entry VM on the Magnolia Errata platform.
package main

import (
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/platform"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/relay"
)

// metricsAddress is where metrics and the state dump are served. The deploy file contains the same port.
const metricsAddress = ":9464"

// flushTimeout is the time limit for writing the last log lines at exit.
const flushTimeout = 200 * time.Millisecond

// memoryLimitFraction is the fraction of the VM's memory that is set as the Go runtime's soft memory
// limit, near which the garbage collector runs more often.
const memoryLimitFraction = 0.7

func main() {
	root := &cobra.Command{Use: "ibisentry", Short: "Entry VM process of the rollout service", SilenceUsage: true}
	var path string
	run := &cobra.Command{
		Use: "run", Short: "Serve until SIGTERM",
		RunE: func(*cobra.Command, []string) error { return serve(path) },
	}
	check := &cobra.Command{
		Use: "check", Short: "Check the settings file",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := platform.LoadSettings(path); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
	root.PersistentFlags().StringVar(&path, "settings", os.Getenv(platform.SettingsEnv), "settings file")
	root.AddCommand(run, check)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// applyLimits sets the runtime's limits for cores and memory from the settings.
func applyLimits(s entry.Settings) {
	runtime.GOMAXPROCS(max(1, s.Cores))
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
}

func serve(path string) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	applyLimits(settings)
	logWriter := process.NewLogWriter(os.Stdout)
	defer logWriter.Flush(flushTimeout)
	log := process.NewLogger(logWriter, slog.LevelInfo, "entry", settings.VM)
	metrics := process.NewMetrics()
	metrics.Set("log_lines_dropped", expvar.Func(func() any { return logWriter.Dropped() }))
	targets := platform.NewTargetClient(platform.DialTarget)
	metrics.Set("invalid_load_headers", &targets.InvalidLoads)
	transport := platform.NewStoreTransport(settings.StoreAddress, log)
	store := platform.NewStoreClient(settings.StoreAddress, transport, platform.NewCallCounter(metrics))
	var peers *relay.Directory
	var relayHandler http.Handler
	if settings.RelayAddress != "" {
		peers = &relay.Directory{Store: store, Topic: platform.TopicPeers, VM: settings.VM, AvailabilityZone: settings.AvailabilityZone, Address: settings.RelayAddress, RPCAddress: settings.RPCAddress, Small: settings.Small(), Transport: transport, Log: log}
		relayHandler = platform.NewStoreRelay(settings.StoreAddress, settings.CallBytes, transport)
	}
	var dutyAPI duties.API
	if settings.Duties.Address != "" {
		dutyAPI = platform.NewCloudClient(settings.Duties.Address)
	}
	p := entry.New(entry.Options{
		Settings: settings, Log: log, Store: store, Peers: peers, Relay: relayHandler, Isolated: transport.Isolated, Metrics: metrics, MetricsAddress: metricsAddress, Client: targets, Engines: targets,
		DutyAPI: dutyAPI, Sources: platform.Sources(), CrashTopic: platform.TopicCrashes, SoftwareTopic: platform.TopicSoftware, BootTime: process.BootTime, Dial: platform.DialPeer, ReadyHandler: platform.ReadyHandler,
		Handler: func(p *entry.Process) http.Handler {
			return (&platform.Ingress{View: p.View, Requests: p.Forwarder, Batches: p.Batches, Keys: p.Keys, Memory: p.Memory, Pages: p.Pages, ShuttingDown: p.ShuttingDown, Log: log}).Handler()
		},
	})
	targets.View = p.View
	stop, reload := make(chan struct{}), make(chan struct{}, 1)
	load := func() (entry.Settings, error) { return platform.LoadSettings(path) }
	go entry.NewReloader(settings, load, applyLimits, log).Run(reload, stop)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGTERM, syscall.SIGINT:
				close(stop)
				return
			case syscall.SIGHUP:
				select {
				case reload <- struct{}{}:
				default: // a reload is pending already
				}
			}
		}
	}()
	return p.Run(stop)
}
