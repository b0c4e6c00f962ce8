package gate

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/wire"
)

// Bounds of reports to the steward.
const (
	// reportQueue bounds the reports that wait to be sent.
	reportQueue = 1024
	// reportEvery is the time over which reports are joined.
	reportEvery = 100 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
	// reportMax bounds the entries of one kind that are kept while the steward is away.
	reportMax = 4096
)

// reporter joins what was seen of targets and sends it to the steward.
type reporter struct {
	call    func(ctx context.Context, method string, params, result any) error
	queue   chan wire.ReportParams
	log     *slog.Logger
	counted *expvar.Map
}

func newReporter(call func(ctx context.Context, method string, params, result any) error, log *slog.Logger, m *process.Metrics) *reporter {
	return &reporter{call: call, queue: make(chan wire.ReportParams, reportQueue), log: log, counted: m.SubMap("reports")}
}

// add queues a report; a report above the bound is dropped and counted.
func (r *reporter) add(p wire.ReportParams) {
	select {
	case r.queue <- p:
	default:
		r.counted.Add("dropped", 1)
	}
}

// run sends the queued reports until ctx ends; what the steward did not take is sent again.
func (r *reporter) run(ctx context.Context) error {
	var pending wire.ReportParams
	for pause(ctx, reportEvery) {
		r.collect(&pending)
		if empty(&pending) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.call(call, wire.MethodReport, pending, nil)
		cancel()
		if err != nil {
			r.counted.Add("failed", 1)
			continue
		}
		r.counted.Add("sent", 1)
		pending = wire.ReportParams{}
	}
	return nil
}

func (r *reporter) collect(into *wire.ReportParams) {
	for {
		select {
		case p := <-r.queue:
			into.Leaving = newest(append(into.Leaving, p.Leaving...))
			into.Deaths = newest(append(into.Deaths, p.Deaths...))
			into.Cleared = newest(append(into.Cleared, p.Cleared...))
			for model, v := range p.Versions {
				if into.Versions == nil {
					into.Versions = map[string]int64{}
				}
				into.Versions[model] = max(into.Versions[model], v)
			}
		default:
			return
		}
	}
}

func newest[T any](s []T) []T { return s[max(0, len(s)-reportMax):] }

func empty(p *wire.ReportParams) bool {
	return len(p.Leaving)+len(p.Deaths)+len(p.Cleared)+len(p.Versions) == 0
}
