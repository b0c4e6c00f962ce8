package rollout

import "github.com/ibistrail/ibistrail/config"

// defaultConcurrency is the batch limit assumed for an engine whose pool does not set concurrency_per_target.
const defaultConcurrency = 16

// pool returns the row of a pool in the tables in force, or nil if there is none.
func (m *Manager) pool(name string) *config.Pool {
	tables, _ := m.opts.Directory.Tables()
	if tables == nil {
		return nil
	}
	return tables.Pool(name)
}

func (m *Manager) model(pool string) string {
	if p := m.pool(pool); p != nil {
		return p.Model
	}
	return ""
}

func (m *Manager) newestVersion(pool string) int64 {
	if model := m.model(pool); model != "" {
		return m.opts.Directory.Version(model)
	}
	return 0
}

// capacity returns the maximum number of attempts that a step may have in flight: the part of the pool
// that other steps do not use, but at least an equal share.
func (m *Manager) capacity(r *runner) int {
	p := m.pool(r.route.Pool)
	if p == nil {
		return 0
	}
	perTarget := p.ConcurrencyPerTarget
	if perTarget <= 0 {
		perTarget = defaultConcurrency
	}
	total := 0
	for _, t := range p.Targets {
		if !t.Draining {
			total += perTarget
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sharing, others := 0, 0
	for _, o := range m.steps {
		if o.route.Pool == r.route.Pool {
			sharing++
			if o != r {
				others += int(o.inFlight.Load())
			}
		}
	}
	return max(total/max(1, sharing), total-others)
}
