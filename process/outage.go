package process

import (
	"log/slog"
	"time"
)

// Outage logs a dependency that fails again and again as two lines: when it was lost, and when it is
// back. It is not safe for concurrent use.
type Outage struct {
	since time.Time
	count int
}

// Failed notes a failure, and logs the first.
func (o *Outage) Failed(log *slog.Logger, event string, err error, args ...any) {
	o.count++
	if o.count == 1 {
		o.since = time.Now()
		log.Warn(event, append(args, "outcome", "lost", "err", err)...)
	}
}

// Over notes a success, and logs the first after failures.
func (o *Outage) Over(log *slog.Logger, event string, args ...any) {
	if o.count == 0 {
		return
	}
	log.Info(event, append(args, "outcome", "regained", "failures", o.count, "ms", time.Since(o.since).Milliseconds())...)
	o.count = 0
}
