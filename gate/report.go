package gate

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/wire"
)

// Timeouts and limits of reports to the steward.
const (
	// reportQueueSize bounds the number of queued reports.
	reportQueueSize = 1024
	// reportInterval is the time over which reports are merged.
	reportInterval = 100 * time.Millisecond
	// reportTimeout bounds the RPC that sends a report.
	reportTimeout = 2 * time.Second
	// maxPendingEntries bounds the pending entries of each kind while the steward is unreachable.
	maxPendingEntries = 4096
)

// reporter merges reports about targets and weight versions and sends them to the steward.
type reporter struct {
	call     func(ctx context.Context, method string, params, result any) error
	queue    chan wire.ReportParams
	log      *slog.Logger
	counters *expvar.Map
}

func newReporter(call func(ctx context.Context, method string, params, result any) error, log *slog.Logger, m *process.Metrics) *reporter {
	return &reporter{call: call, queue: make(chan wire.ReportParams, reportQueueSize), log: log, counters: m.SubMap("reports")}
}

// add queues a report. If the queue is full, the report is dropped and counted.
func (r *reporter) add(p wire.ReportParams) {
	select {
	case r.queue <- p:
	default:
		r.counters.Add("dropped", 1)
	}
}

// run sends the queued reports every reportInterval until ctx ends. A report that fails is retried, merged
// with later ones.
func (r *reporter) run(ctx context.Context) error {
	var pending wire.ReportParams
	for sleep(ctx, reportInterval) {
		r.mergeQueued(&pending)
		if isEmpty(&pending) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.call(callCtx, wire.MethodReport, pending, nil)
		cancel()
		if err != nil {
			r.counters.Add("failed", 1)
			continue
		}
		r.counters.Add("sent", 1)
		pending = wire.ReportParams{}
	}
	return nil
}

// mergeQueued moves all queued reports into pending.
func (r *reporter) mergeQueued(pending *wire.ReportParams) {
	for {
		select {
		case p := <-r.queue:
			pending.Leaving = keepNewest(append(pending.Leaving, p.Leaving...))
			pending.Deaths = keepNewest(append(pending.Deaths, p.Deaths...))
			pending.Cleared = keepNewest(append(pending.Cleared, p.Cleared...))
			for model, v := range p.Versions {
				if pending.Versions == nil {
					pending.Versions = map[string]int64{}
				}
				pending.Versions[model] = max(pending.Versions[model], v)
			}
		default:
			return
		}
	}
}

// keepNewest returns the last maxPendingEntries elements of s.
func keepNewest[T any](s []T) []T { return s[max(0, len(s)-maxPendingEntries):] }

func isEmpty(p *wire.ReportParams) bool {
	return len(p.Leaving)+len(p.Deaths)+len(p.Cleared)+len(p.Versions) == 0
}
