package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/versions"
)

// Bounds of a process.
const (
	// holderCores is what a holder needs of a core: it takes each event of each item of its pools.
	holderCores = 0.5
	// headerTimeout is the longest time that the headers of a request may take.
	headerTimeout = 10 * time.Second
	// leaveTimeout bounds the farewell of a planned stop.
	leaveTimeout = time.Second
	// balancerLag is how long after SIGTERM new connections still come: the balancer asks each second,
	// and twice.
	balancerLag = 2500 * time.Millisecond
	// stopMargin is what is left of the grace when the last answers must be out.
	stopMargin = 1500 * time.Millisecond
)

// Parts are what the process is joined from.
type Parts struct {
	Settings Settings
	Log      *slog.Logger
	Metrics  *process.Metrics
	// MetricsAddress serves metrics and the state dump; empty serves none.
	MetricsAddress string
	Store          store.Log
	Client         targets.Client
	Engines        versions.Engines
	Sources        []Source
	// BootTime is a clock that goes on while the VM is suspended.
	BootTime func() time.Duration
	// Handler serves callers.
	Handler func(p *Process) http.Handler
	// ReadyHandler answers the balancer.
	ReadyHandler func(ready func() bool) http.Handler
}

// Process is an entry VM's process.
type Process struct {
	parts   Parts
	View    *fleet.View
	Forward *forward.Forwarder
	Batches *batch.Service

	dir      *directory
	stopping atomic.Bool
	life     context.Context
	end      context.CancelFunc

	work *work
}

// New joins a process.
func New(parts Parts) *Process {
	p := &Process{parts: parts, View: fleet.NewView()}
	p.life, p.end = context.WithCancel(context.Background())
	s := parts.Settings
	if parts.Metrics == nil {
		parts.Metrics = process.NewMetrics()
	}
	p.dir = newDirectory(parts.Store, parts.Log, p.View)
	p.Forward = forward.New(p.View, parts.Client, s.AvailabilityZone, parts.Log, parts.Metrics)
	p.Batches = batch.New(p.life, batch.Options{
		VM: s.VM, AvailabilityZone: s.AvailabilityZone, Partitions: s.Partitions, RecordBytes: s.RecordBytes, CallBytes: s.CallBytes,
		Keep: s.BatchRetention, Log: parts.Log, Metrics: parts.Metrics, Store: parts.Store, View: p.View, Client: parts.Client, Forwarder: p.Forward,
	})
	p.work = newWork(p)
	return p
}

// standby tells whether this VM is too small to hold a pool's work while another can.
func (p *Process) standby() bool {
	s := p.parts.Settings
	return s.CPUShare > 0 && s.CPUShare*float64(max(1, s.Cores)) < holderCores
}

// Closing tells whether the process is about to stop.
func (p *Process) Closing() bool { return p.stopping.Load() }

// Ready tells whether the process can serve what callers may send.
func (p *Process) Ready() bool { return !p.Closing() && p.dir.isReady() }

// Run serves until stop is closed, and then ends gracefully.
func (p *Process) Run(stop <-chan struct{}) error {
	s := p.parts.Settings
	front, err := net.Listen("tcp", s.ListenAddress)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	readyListener, err := net.Listen("tcp", s.ReadyAddress)
	if err != nil {
		return fmt.Errorf("listening for the balancer: %w", err)
	}
	for _, src := range p.parts.Sources {
		go p.dir.follow(p.life, src)
	}
	go p.Batches.Run()
	go p.work.run()
	server := p.server()
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(front) }()
	ready := &http.Server{Handler: p.parts.ReadyHandler(p.Ready), ReadHeaderTimeout: time.Second}
	go func() { failed <- ready.Serve(readyListener) }()
	p.serveDebug()
	p.parts.Log.Info("started", "vm", s.VM, "az", s.AvailabilityZone, "callers", s.ListenAddress, "ready", s.ReadyAddress)
	select {
	case err := <-failed:
		p.end()
		return err
	case <-p.life.Done():
		return errors.Join(server.Close(), ready.Close())
	case <-stop:
	}
	defer ready.Close()
	p.shutdown(server)
	return nil
}

// serveDebug serves metrics and the state dump. Without them the process still serves callers.
func (p *Process) serveDebug() {
	if p.parts.MetricsAddress == "" {
		return
	}
	l, err := net.Listen("tcp", p.parts.MetricsAddress)
	if err != nil {
		p.parts.Log.Error("metrics_unserved", "address", p.parts.MetricsAddress, "err", err)
		return
	}
	d := process.Debug{Metrics: p.parts.Metrics, State: func() any { return p.State() }, Ready: p.notReady}
	go func() {
		if err := process.Serve(p.life, l, d.Handler()); err != nil {
			p.parts.Log.Error("metrics_unserved", "address", p.parts.MetricsAddress, "err", err)
		}
	}()
}

func (p *Process) notReady() error {
	if p.Ready() {
		return nil
	}
	return errors.New("the tables or the targets are not known yet, or the process stops")
}

// server returns the server of callers.
func (p *Process) server() *http.Server {
	idle := newIdleConns(func() time.Duration {
		if t := p.View.Get().Tables; t != nil {
			return t.Limits.IdleTimeout
		}
		return 0
	})
	return &http.Server{
		Handler:   p.parts.Handler(p),
		ConnState: idle.state,
		// Callers stay within the configuration's shorter limit; this one ends connections that never speak.
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(p.parts.Log.Handler(), slog.LevelDebug),
	}
}

// shutdown gives the work back, waits until the balancer sends nobody and the last answers are out.
func (p *Process) shutdown(server *http.Server) {
	began := time.Now()
	p.stopping.Store(true)
	p.parts.Log.Info("stopping", "grace_ms", p.parts.Settings.StopGrace.Milliseconds())
	p.work.stop()
	time.Sleep(min(balancerLag, p.parts.Settings.StopGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(p.parts.Settings.StopGrace-stopMargin))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.parts.Log.Warn("stopped_early", "err", err)
	}
	p.end()
	p.parts.Log.Info("stopped", "ms", time.Since(began).Milliseconds())
}

// Abort ends the process at once, without a farewell.
func (p *Process) Abort() { p.end() }

// Holds tells whether this VM places the items of a pool and orders its versions.
func (p *Process) Holds(pool string) bool { return p.work.holds(pool) }
