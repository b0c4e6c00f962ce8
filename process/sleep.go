package process

import (
	"context"
	"time"
)

// Sleep pauses for the duration d or until ctx is done, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
