package process

import (
	"log/slog"
	"time"
)

// Outage logs an outage of a dependency as two lines, however many calls fail: one at the first failure and one at
// the next success. It is not safe for concurrent use.
type Outage struct {
	since time.Time
	count int
}

// Failed records a failure. It logs the first failure of an outage.
func (o *Outage) Failed(log *slog.Logger, event string, err error, args ...any) {
	o.count++
	if o.count == 1 {
		o.since = time.Now()
		log.Warn(event, append(args, "outcome", "lost", "err", err)...)
	}
}

// Recovered records a success. It logs the end of an outage with the number of failures and the duration.
func (o *Outage) Recovered(log *slog.Logger, event string, args ...any) {
	if o.count == 0 {
		return
	}
	log.Info(event, append(args, "outcome", "regained", "failures", o.count, "ms", time.Since(o.since).Milliseconds())...)
	o.count = 0
}
