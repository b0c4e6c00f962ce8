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
	errNoRoutes        = errors.New("the configuration has no routes; publish some with ibisctl apply")
	errStopping        = errors.New("draining: a planned stop is in progress")
)

// stateCache holds the latest state received from a steward. It stays in force while no steward is reachable.
type stateCache struct {
	mu       sync.RWMutex
	tables   *config.Tables
	revision trial.Offset
	state    wire.State
}

// Tables returns the tables in force and their revision. The tables are nil before the first configuration.
func (h *stateCache) Tables() (*config.Tables, trial.Offset) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.tables, h.revision
}

// Version returns the newest known weight version of model, or 0 if none is known.
func (h *stateCache) Version(model string) int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Versions[model]
}

// Peers returns the live gates of other VMs.
func (h *stateCache) Peers() []wire.Node {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Peers
}

// peer returns the live gate with the given ID.
func (h *stateCache) peer(id string) (wire.Node, bool) {
	for _, p := range h.Peers() {
		if p.ID == id {
			return p, true
		}
	}
	return wire.Node{}, false
}

// apply puts a state in force and reports whether it did. It rejects a state with an older revision than
// the one in force: a configuration never reverts.
func (h *stateCache) apply(s *wire.State) bool {
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

// ready returns nil if a configuration with routes is in force.
func (h *stateCache) ready() error {
	h.mu.RLock()
	defer h.mu.RUnlock()
	switch {
	case h.tables == nil:
		return errNoConfiguration
	case len(h.tables.Routes) == 0:
		return errNoRoutes
	}
	return nil
}

// applyState puts a steward's state in force and passes it to the dispatcher.
func (g *Gate) applyState(s *wire.State) {
	oldTables, oldRevision := g.state.Tables()
	if !g.state.apply(s) {
		return
	}
	tables, revision := g.state.Tables()
	g.dispatcher.SetState(tables, s)
	if oldTables == nil || revision != oldRevision {
		g.log.Info("configuration_in_force", "revision", revision, "routes", len(tables.Routes), "pools", len(tables.Pools))
	}
}

func (g *Gate) callSteward(ctx context.Context, method string, params, result any) error {
	return g.pool.Call(ctx, g.opts.Settings.StewardAddress, method, params, result)
}

// reportVersions reports the weight versions that trainers announced to the steward, whenever they change.
func (g *Gate) reportVersions(ctx context.Context) error {
	var reported map[string]int64
	for sleep(ctx, reportInterval) {
		if v := g.rollouts.TrainerVersions(); len(v) > 0 && !maps.Equal(v, reported) {
			g.reports.add(wire.ReportParams{Versions: v})
			reported = v
		}
	}
	return nil
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
