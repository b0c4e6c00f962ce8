package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/store"
)

// Timing of reads from the store.
const (
	// operatorReadWait is how long one read waits for a new operator record. The store may fail to end a
	// wait when a record arrives. A change must take effect within two seconds, so two waits must fit into them.
	operatorReadWait = 800 * time.Millisecond
	// targetsPollInterval is the pause between reads of registrations, which change with each heartbeat of
	// each target. A draining target must stop receiving requests within about two seconds.
	targetsPollInterval = 500 * time.Millisecond
	// targetsReadWait is how long one read waits for a new registration.
	targetsReadWait = 800 * time.Millisecond
	// minOutage is how long reads must fail before this counts as an outage of the store.
	minOutage = time.Second
)

// Change is the decoded content of one record: tables, a named weight version, or the registration of a
// target. The zero value changes nothing.
type Change struct {
	Tables   *fleet.Tables
	Model    string
	Version  int64
	Instance *fleet.Instance
	// TargetID is set on registrations. With a nil Instance, the target's registration was removed or is invalid.
	TargetID string
}

// Source is a keyed topic that a VM follows: for each key, only the newest record counts.
type Source struct {
	Topic  string
	Decode func(key string, value []byte) (Change, error)
	// Registrations is set if the records are registrations of targets.
	Registrations bool
}

// topicFollower follows the topics of the operator and of the targets, and publishes a new snapshot to the
// view after each change. One goroutine per topic runs follow.
type topicFollower struct {
	store store.Log
	log   *slog.Logger
	view  *fleet.View
	// bootTime is a clock that counts suspension. tablesReadAt is its time, in nanoseconds, when the last complete read of the operator's
	// topic began.
	bootTime     func() time.Duration
	tablesReadAt atomic.Int64
	// confirm makes sure that each record is soon followed by a complete read.
	confirm      bool
	mu           chan struct{} // a mutex with capacity 1; guards directory, failingSince and readAt
	directory    *fleet.Directory
	failingSince map[string]time.Time     // by topic: the time of the first failed read
	readAt       map[string]time.Duration // by topic: the time of the newest successful read, on bootTime
}

func newTopicFollower(st store.Log, log *slog.Logger, view *fleet.View, bootTime func() time.Duration, confirm bool) *topicFollower {
	return &topicFollower{
		store: st, log: log, view: view, bootTime: bootTime, confirm: confirm, mu: make(chan struct{}, 1), directory: fleet.NewDirectory(),
		failingSince: map[string]time.Time{}, readAt: map[string]time.Duration{},
	}
}

// age returns the time since the last successful read of the topic whose last one is the oldest.
func (f *topicFollower) age(sources []Source) time.Duration {
	f.mu <- struct{}{}
	defer func() { <-f.mu }()
	oldest := time.Duration(0)
	for _, src := range sources {
		oldest = max(oldest, f.bootTime()-f.readAt[src.Topic])
	}
	return oldest
}

// follow applies the records of a topic until ctx ends.
func (f *topicFollower) follow(ctx context.Context, src Source) {
	reader := store.Follower{
		Log: f.store, Topic: src.Topic, Wait: operatorReadWait,
		Listed:   func(records []store.KeyedRecord, next int64) { f.applyListing(src, records, next) },
		Appended: func(records []store.KeyedRecord) { f.applyChanges(src, records) },
		Truncated: func(from int64, err *store.TruncatedError) {
			f.log.Warn("topic_truncated", "topic", src.Topic, "from", from, "first", err.First)
		},
		Failed: func(err error) { f.recordReadFailure(src, err) },
	}
	if src.Registrations {
		reader.Wait, reader.Pause = targetsReadWait, targetsPollInterval
	} else {
		var began time.Duration
		reader.Confirm = f.confirm
		reader.Reading = func() { began = f.bootTime() }
		reader.Complete = func() { f.tablesReadAt.Store(int64(began)) }
	}
	reader.Run(ctx)
}

// tablesAge returns the time since the last complete read of the operator's topic began.
func (f *topicFollower) tablesAge() time.Duration {
	return f.bootTime() - time.Duration(f.tablesReadAt.Load())
}

// applyListing applies the newest record of each key.
func (f *topicFollower) applyListing(src Source, records []store.KeyedRecord, next int64) {
	f.update(src, func(now time.Time) bool {
		listedIDs := map[string]bool{}
		for _, r := range records {
			f.apply(now, src, r, listedIDs)
		}
		if src.Registrations {
			f.directory.RemoveUnlisted(now, next, listedIDs)
		}
		return true
	})
}

// applyChanges applies the records of one read.
func (f *topicFollower) applyChanges(src Source, records []store.KeyedRecord) {
	f.update(src, func(now time.Time) bool {
		changed := false
		for _, r := range records {
			changed = f.apply(now, src, r, nil) || changed
		}
		return changed
	})
}

// update is called after each successful read. It runs change under the lock, drops targets whose
// registrations lapsed during an outage, and publishes a new snapshot if change returns true or a target was dropped.
func (f *topicFollower) update(src Source, change func(now time.Time) bool) {
	f.mu <- struct{}{}
	defer func() { <-f.mu }()
	now := time.Now()
	f.readAt[src.Topic] = f.bootTime()
	if since, ok := f.failingSince[src.Topic]; ok {
		delete(f.failingSince, src.Topic)
		f.log.Info("store_reached", "topic", src.Topic, "out_ms", now.Sub(since).Milliseconds())
		if now.Sub(since) >= minOutage {
			f.directory.StoreRecovered(now)
		}
	}
	changed := change(now)
	if n := f.directory.Expire(now); n > 0 {
		f.log.Info("targets_lapsed", "count", n)
		changed = true
	}
	if changed {
		f.view.Set(&fleet.Snapshot{
			Tables: f.directory.Tables(), Instances: f.directory.Instances(), NamedVersions: f.directory.NamedVersions(), BatchRouting: f.directory.BatchRouting(),
		})
	}
}

// recordReadFailure records the start of an outage and logs it once.
func (f *topicFollower) recordReadFailure(src Source, err error) {
	f.mu <- struct{}{}
	defer func() { <-f.mu }()
	if _, ok := f.failingSince[src.Topic]; !ok {
		f.failingSince[src.Topic] = time.Now()
		f.log.Warn("store_lost", "topic", src.Topic, "err", err)
	}
}

// apply applies one record to the directory and reports whether that changed it. It adds the IDs of
// registered targets to listedIDs unless that is nil.
func (f *topicFollower) apply(now time.Time, src Source, r store.KeyedRecord, listedIDs map[string]bool) bool {
	c, err := src.Decode(r.Key, r.Value)
	if err != nil {
		f.log.Warn("record_ignored", "topic", src.Topic, "offset", r.Offset, "err", err)
	}
	switch {
	case src.Registrations && c.Instance != nil:
		if listedIDs != nil {
			listedIDs[c.TargetID] = true
		}
		return f.directory.Register(r.Offset, c.TargetID, c.Instance)
	case src.Registrations:
		// The registration was removed, or it is invalid and names no usable target.
		return f.directory.Remove(now, r.Offset, c.TargetID)
	case c.Tables != nil:
		if !f.directory.SetTables(c.Tables) {
			return false
		}
		f.log.Info("tables_in_force", "version", c.Tables.Version, "offset", r.Offset, "routes", len(c.Tables.Routes), "pools", len(c.Tables.Pools))
		return true
	case c.Model != "":
		if !f.directory.SetNamedVersion(c.Model, c.Version) {
			return false
		}
		f.log.Info("version_named", "model", c.Model, "version", c.Version, "offset", r.Offset)
		return true
	}
	return false
}

// ready reports whether both the tables and the registrations have been read.
func (f *topicFollower) ready() bool {
	f.mu <- struct{}{}
	defer func() { <-f.mu }()
	return f.directory.Tables() != nil && f.directory.Listed()
}
