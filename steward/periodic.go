package steward

import (
	"context"
	"time"
)

// runPeriodically calls step once per period until ctx ends, then returns nil.
func runPeriodically(ctx context.Context, period time.Duration, step func(ctx context.Context)) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			step(ctx)
		}
	}
}
