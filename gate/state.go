package gate

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

var (
	errNoConfiguration = errors.New("no configuration is known yet; start the VM's steward and publish one with ibisctl apply")
	errNoRows          = errors.New("the configuration has no routes; publish some with ibisctl apply")
	errStopping        = errors.New("draining: a planned stop is in progress")
)

// stateHolder keeps the steward's state in force, also while the steward is away.
type stateHolder struct {
	mu       sync.RWMutex
	tables   *config.Tables
	revision trial.Offset
	state    wire.State
}

// Tables returns the tables in force and their revision; nil before the first.
func (h *stateHolder) Tables() (*config.Tables, trial.Offset) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.tables, h.revision
}

// Version returns the newest known weight version of model; 0 if unknown.
func (h *stateHolder) Version(model string) int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Versions[model]
}

// Peers returns the live gates of other VMs.
func (h *stateHolder) Peers() []wire.Node {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Peers
}

// peer returns the live gate with that ID.
func (h *stateHolder) peer(id string) (wire.Node, bool) {
	for _, p := range h.Peers() {
		if p.ID == id {
			return p, true
		}
	}
	return wire.Node{}, false
}

// apply puts a state in force, unless it is older than what is: a configuration never reverts.
func (h *stateHolder) apply(s *wire.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !s.Ready || h.tables != nil && s.Revision < h.revision || h.tables == nil && s.Tables == nil {
		return false
	}
	if s.Tables != nil {
		h.tables, h.revision = s.Tables, s.Revision
	}
	h.state = *s
	h.state.Tables = nil
	return true
}

// ready returns nil once a configuration with rows is known.
func (h *stateHolder) ready() error {
	h.mu.RLock()
	defer h.mu.RUnlock()
	switch {
	case h.tables == nil:
		return errNoConfiguration
	case len(h.tables.Routes) == 0:
		return errNoRows
	}
	return nil
}

func (g *Gate) apply(s *wire.State) {
	before, revision := g.state.Tables()
	if !g.state.apply(s) {
		return
	}
	tables, now := g.state.Tables()
	g.dispatcher.SetState(tables, s)
	if before == nil || now != revision {
		g.log.Info("configuration_in_force", "revision", now, "routes", len(tables.Routes), "pools", len(tables.Pools))
	}
}

func (g *Gate) callSteward(ctx context.Context, method string, params, result any) error {
	return g.pool.Call(ctx, g.opts.Settings.StewardAddress, method, params, result)
}

// reportVersions tells the steward which versions trainers stated.
func (g *Gate) reportVersions(ctx context.Context) error {
	var told map[string]int64
	for pause(ctx, reportEvery) {
		if v := g.rollouts.TrainerVersions(); len(v) > 0 && !maps.Equal(v, told) {
			g.reports.add(wire.ReportParams{Versions: v})
			told = v
		}
	}
	return nil
}

// pause waits for d and returns false if ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
