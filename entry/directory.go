package entry

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Times of following the operator and the targets.
const (
	// operatorWait is how long one read waits for a change of the tables. The store may miss to end a
	// wait, so two of them must fit into the two seconds in which a change is to be in force.
	operatorWait = 800 * time.Millisecond
	// targetsEvery is the pause between reads of registrations, which change with each beat of each
	// target; a draining target must be left within about two seconds.
	targetsEvery = 500 * time.Millisecond
	// targetsWait is how long one read waits for a registration.
	targetsWait = 800 * time.Millisecond
	// storeRetry is the pause after a failed read.
	storeRetry = 250 * time.Millisecond
	// outageAfter is how long reads must have failed to count as an outage of the store.
	outageAfter = time.Second
)

// Change is what one record of a topic changes.
type Change struct {
	Tables   *fleet.Tables
	Model    string
	Version  int64
	Instance *fleet.Instance
	// TargetID is set where the record is a target's.
	TargetID string
}

// Source is a topic whose newest records by key a VM follows.
type Source struct {
	Topic  string
	Decode func(key string, value []byte) (Change, error)
	// Targets tells that the records are registrations.
	Targets bool
}

// directory keeps the view up to date. Its loops share it under the lock of follow's caller.
type directory struct {
	store   store.Log
	log     *slog.Logger
	view    *fleet.View
	lock    chan struct{} // held while dir is used
	dir     *fleet.Directory
	failing map[string]time.Time
}

func newDirectory(st store.Log, log *slog.Logger, view *fleet.View) *directory {
	return &directory{store: st, log: log, view: view, lock: make(chan struct{}, 1), dir: fleet.NewDirectory(), failing: map[string]time.Time{}}
}

// follow reads a topic until ctx ends: first the newest record of each key, then the changes.
func (d *directory) follow(ctx context.Context, src Source) {
	next, listed := int64(0), false
	for ctx.Err() == nil {
		var err error
		if !listed {
			next, err = d.list(ctx, src)
			listed = err == nil
		} else {
			next, err = d.changes(ctx, src, next)
			var truncated *store.TruncatedError
			if errors.As(err, &truncated) {
				d.log.Warn("topic_truncated", "topic", src.Topic, "from", next, "first", truncated.First)
				listed = false
				continue
			}
		}
		switch {
		case err != nil && ctx.Err() == nil:
			d.failed(src, err)
			process.Sleep(ctx, storeRetry)
		case src.Targets:
			process.Sleep(ctx, targetsEvery)
		}
	}
}

// list takes the newest record of each key.
func (d *directory) list(ctx context.Context, src Source) (int64, error) {
	records, next, err := d.store.Newest(ctx, src.Topic)
	if err != nil {
		return 0, err
	}
	d.update(src, func(now time.Time) bool {
		ids := map[string]bool{}
		for _, r := range records {
			d.apply(now, src, r, ids)
		}
		if src.Targets {
			d.dir.KeepOnly(now, next, ids)
		}
		return true
	})
	return next, nil
}

// changes takes the records from an offset on.
func (d *directory) changes(ctx context.Context, src Source, from int64) (int64, error) {
	wait := operatorWait
	if src.Targets {
		wait = targetsWait
	}
	records, next, err := d.store.ReadKeyed(ctx, src.Topic, from, wait)
	if err != nil {
		return from, err
	}
	d.update(src, func(now time.Time) bool {
		changed := false
		for _, r := range records {
			changed = d.apply(now, src, r, nil) || changed
		}
		return changed
	})
	return next, nil
}

// update runs change under the lock and publishes a new snapshot if it returns true.
func (d *directory) update(src Source, change func(now time.Time) bool) {
	d.lock <- struct{}{}
	defer func() { <-d.lock }()
	now := time.Now()
	if since, ok := d.failing[src.Topic]; ok {
		delete(d.failing, src.Topic)
		d.log.Info("store_reached", "topic", src.Topic, "out_ms", now.Sub(since).Milliseconds())
		if now.Sub(since) >= outageAfter {
			d.dir.Returned(now)
		}
	}
	changed := change(now)
	if n := d.dir.Expire(now); n > 0 {
		d.log.Info("targets_lapsed", "count", n)
		changed = true
	}
	if changed {
		d.view.Set(&fleet.Snapshot{Tables: d.dir.Tables(), Instances: d.dir.Instances(), Named: d.dir.Named()})
	}
}

// failed notes that the store did not answer a read.
func (d *directory) failed(src Source, err error) {
	d.lock <- struct{}{}
	defer func() { <-d.lock }()
	if _, ok := d.failing[src.Topic]; !ok {
		d.failing[src.Topic] = time.Now()
		d.log.Warn("store_lost", "topic", src.Topic, "err", err)
	}
}

// apply takes one record. It returns whether the directory changed.
func (d *directory) apply(now time.Time, src Source, r store.KeyedRecord, ids map[string]bool) bool {
	c, err := src.Decode(r.Key, r.Value)
	if err != nil {
		d.log.Warn("record_ignored", "topic", src.Topic, "offset", r.Offset, "err", err)
	}
	switch {
	case src.Targets && c.Instance != nil:
		if ids != nil {
			ids[c.TargetID] = true
		}
		return d.dir.Register(r.Offset, c.TargetID, c.Instance)
	case src.Targets:
		// Removed, or unreadable: it names no target to use.
		return d.dir.Remove(now, r.Offset, c.TargetID)
	case c.Tables != nil:
		if !d.dir.SetTables(c.Tables) {
			return false
		}
		d.log.Info("tables_in_force", "version", c.Tables.Version, "offset", r.Offset, "routes", len(c.Tables.Routes), "pools", len(c.Tables.Pools))
		return true
	case c.Model != "":
		if !d.dir.SetNamed(c.Model, c.Version) {
			return false
		}
		d.log.Info("version_named", "model", c.Model, "version", c.Version, "offset", r.Offset)
		return true
	}
	return false
}

// isReady tells whether the tables and the targets are known.
func (d *directory) isReady() bool {
	d.lock <- struct{}{}
	defer func() { <-d.lock }()
	return d.dir.Tables() != nil && d.dir.Listed()
}
