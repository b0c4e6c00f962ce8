package dispatch

import (
	"expvar"
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/process"
)

// metrics holds the dispatcher's counters and the registry for its latency histograms.
type metrics struct {
	registry *process.Metrics
	outcomes *expvar.Map
	codes    *expvar.Map
	refusals *expvar.Map
	retries  *expvar.Map
	tokens   *expvar.Map
	deaths   *expvar.Map
}

func newMetrics(m *process.Metrics) metrics {
	return metrics{
		registry: m, outcomes: m.SubMap("requests"), codes: m.SubMap("errors"), refusals: m.SubMap("refusals"),
		retries: m.SubMap("retries"), tokens: m.SubMap("tokens"), deaths: m.SubMap("target_deaths"),
	}
}

// recordRequest counts a finished request by class, outcome and error code, and records its latency if it succeeded.
func (m *metrics) recordRequest(class int, started, now time.Time, err *api.Error) {
	outcome := api.OutcomeDone
	if err != nil {
		outcome = err.Outcome
		m.codes.Add(string(err.Code), 1)
		if err.Code == api.CodeOverloaded || err.Code == api.CodeDeadline {
			m.refusals.Add(fmt.Sprintf("class_%d", class), 1)
		}
	}
	m.outcomes.Add(string(outcome), 1)
	m.outcomes.Add(fmt.Sprintf("class_%d_%s", class, outcome), 1)
	if err == nil {
		m.registry.Latency(fmt.Sprintf("latency_class_%d_seconds", class)).Observe(now.Sub(started))
	}
}
