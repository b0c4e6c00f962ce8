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
func (c *stateCache) Tables() (*config.Tables, trial.Offset) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.tables, c.revision
}

// Version returns the newest known weight version of model, or 0 if none is known.
func (c *stateCache) Version(model string) int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state.Versions[model]
}

// Peers returns the live gates of other VMs.
func (c *stateCache) Peers() []wire.Node {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state.Peers
}

// peer returns the live gate with the given ID.
func (c *stateCache) peer(id string) (wire.Node, bool) {
	for _, p := range c.Peers() {
		if p.ID == id {
			return p, true
		}
	}
	return wire.Node{}, false
}

// apply replaces the state in force by s and reports whether it did. It rejects a state that is not ready or has an
// older revision than the one in force: a configuration never reverts.
func (c *stateCache) apply(s *wire.State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.Ready || c.tables != nil && s.Revision < c.revision || c.tables == nil && s.Tables == nil {
		return false
	}
	if s.Tables != nil {
		c.tables, c.revision = s.Tables, s.Revision
	}
	c.state = *s
	c.state.Tables = nil
	return true
}

// ready returns nil if a configuration with routes is in force, and otherwise errNoConfiguration or errNoRoutes.
func (c *stateCache) ready() error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	switch {
	case c.tables == nil:
		return errNoConfiguration
	case len(c.tables.Routes) == 0:
		return errNoRoutes
	}
	return nil
}

// applyState applies a steward's state, unless it is outdated, and passes it to the dispatcher.
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

// reportVersions sends to the steward the weight versions that trainers have reported, whenever they change.
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
