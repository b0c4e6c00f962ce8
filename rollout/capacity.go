package rollout

import "github.com/ibistrail/ibistrail/config"

// defaultConcurrency is the assumed batch limit of an engine whose pool names none.
const defaultConcurrency = 16

// pool returns the row of a pool in force, or nil.
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

func (m *Manager) newest(pool string) int64 {
	if model := m.model(pool); model != "" {
		return m.opts.Directory.Version(model)
	}
	return 0
}

// capacity returns the attempts that a step may have in flight: what other steps leave of the
// pool, and never less than its fair share.
func (m *Manager) capacity(r *runner) int {
	p := m.pool(r.route.Pool)
	if p == nil {
		return 0
	}
	per := p.ConcurrencyPerTarget
	if per <= 0 {
		per = defaultConcurrency
	}
	total := 0
	for _, t := range p.Targets {
		if !t.Draining {
			total += per
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
