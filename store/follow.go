package store

import (
	"context"
	"errors"
	"time"

	"github.com/ibistrail/ibistrail/process"
)

// followRetryDelay is the pause after a failed read.
const followRetryDelay = 250 * time.Millisecond

// Follower keeps up with a compacted topic: it lists the newest record of each key, then reads new records as they are
// appended. If the topic has been truncated beyond its offset, it lists again.
type Follower struct {
	Log   Log
	Topic string
	// Wait is how long one read waits for a new record. The store may fail to end a wait when a record arrives. It does
	// not wait in a topic that has no record yet; then the next read follows after Wait.
	Wait time.Duration
	// Pause is the time between two reads.
	Pause time.Duration
	// Confirm makes a read that returned records be followed by one that does not wait, so that Complete is soon called.
	Confirm bool
	// Reading is called before each read or listing, Complete after one that came to the end of the topic and was applied: a listing, or a
	// read without records. Both may be nil.
	Reading, Complete func()
	// Listed applies a listing; next is the offset of the first record that is not in it.
	Listed func(records []KeyedRecord, next int64)
	// Appended applies the records of one read, which may be none.
	Appended func(records []KeyedRecord)
	// Truncated is called before the topic is listed again, with the offset that was not retained.
	Truncated func(from int64, err *TruncatedError)
	// Failed is called after each read or listing that failed.
	Failed func(err error)
}

func (f *Follower) complete() {
	if f.Complete != nil {
		f.Complete()
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next, listed, confirm := int64(0), false, false
	for ctx.Err() == nil {
		if f.Reading != nil {
			f.Reading()
		}
		var records []KeyedRecord
		var err error
		if !listed {
			var from int64
			if records, from, err = f.Log.ReadNewest(ctx, f.Topic); err == nil {
				next, listed = from, true
				f.Listed(records, next)
				f.complete()
			}
		} else {
			from, start, wait := next, time.Now(), f.Wait
			if confirm {
				wait = 0
			}
			if records, next, err = f.Log.ReadKeyed(ctx, f.Topic, from, wait); err == nil {
				f.Appended(records)
				if next == from {
					f.complete()
					process.Sleep(ctx, wait-time.Since(start))
				}
				confirm = f.Confirm && next > from
			}
			var truncated *TruncatedError
			if errors.As(err, &truncated) {
				f.Truncated(from, truncated)
				listed = false
				continue
			}
		}
		switch {
		case err != nil && ctx.Err() == nil:
			f.Failed(err)
			process.Sleep(ctx, followRetryDelay)
		case f.Pause > 0:
			process.Sleep(ctx, f.Pause)
		}
	}
}
