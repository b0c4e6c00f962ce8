package crashes

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/wire"
)

// Timing and limits of sharing deaths through the store.
const (
	// saveDelay is how long the first death of a request is kept back: most suspects complete elsewhere in this time.
	saveDelay = 200 * time.Millisecond
	// saveRetryDelay is the pause after a failed append.
	saveRetryDelay = 250 * time.Millisecond
	// readWait is how long one read waits for other VMs' deaths. The store may fail to end a wait, so that this is also how
	// late a VM may know of the third wire.Death of a request.
	readWait = 1500 * time.Millisecond
	// sweepInterval is the time between removals of expired wire.Deaths.
	sweepInterval = time.Minute
	// orphanGrace is the time after which other VMs remove an expired wire.Death: the VM that recorded it has been replaced.
	orphanGrace = time.Minute
	// maxUnsaved limits the changes that wait for the store.
	maxUnsaved = 4096
	// maxKeyBytes is the longest key of a topic. A longer one would fail each append.
	maxKeyBytes = 255
)

// change is a change of the shared topic that has not been appended yet.
type change int

const (
	put change = iota
	remove
)

// deathRecord is the value of a death in the shared topic, under the death's key.
type deathRecord struct {
	// AtMs and ExpiresMs are Unix times by the clock of the VM that recorded the death.
	AtMs      int64 `json:"at_ms"`
	ExpiresMs int64 `json:"expires_ms"`
}

// decodeKey returns the death that a key names. Target IDs may contain the separator.
func decodeKey(key string) (wire.Death, error) {
	fingerprint, rest, ok := strings.Cut(key, "|")
	last := strings.LastIndex(rest, "|")
	if !ok || last < 0 || fingerprint == "" {
		return wire.Death{}, fmt.Errorf("key %.60q has no fingerprint, target and boot", key)
	}
	return wire.Death{Fingerprint: fingerprint, Target: rest[:last], Boot: rest[last+1:]}, nil
}

// Run shares deaths with the other VMs until ctx ends.
func (r *Register) Run(ctx context.Context) {
	var outage process.Outage
	reader := store.Follower{
		Log: r.opts.Store, Topic: r.opts.Topic, Wait: readWait,
		Listed: func(records []store.KeyedRecord, _ int64) {
			outage.Recovered(r.opts.Log, "crashes_read")
			r.applyListing(time.Now(), records)
		},
		Appended: func(records []store.KeyedRecord) {
			outage.Recovered(r.opts.Log, "crashes_read")
			r.apply(time.Now(), records)
		},
		Truncated: func(from int64, err *store.TruncatedError) {
			r.opts.Log.Warn("topic_truncated", "topic", r.opts.Topic, "from", from, "first", err.First)
		},
		Failed: func(err error) { outage.Failed(r.opts.Log, "crashes_read", err) },
	}
	go reader.Run(ctx)
	r.saveLoop(ctx)
}

// applyListing replaces the deaths of other processes by a listing of the topic.
func (r *Register) applyListing(now time.Time, records []store.KeyedRecord) {
	r.apply(now, records)
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		listed[rec.Key] = true
	}
	for _, known := range r.deaths {
		for d, state := range known {
			if !state.own && !listed[d.Key()] {
				r.forget(d)
			}
		}
	}
}

// apply applies records of the topic.
func (r *Register) apply(now time.Time, records []store.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		d, err := decodeKey(rec.Key)
		var value deathRecord
		if err == nil && rec.Value != nil {
			err = json.Unmarshal(rec.Value, &value)
		}
		_, pending := r.unsaved[d]
		switch {
		case err != nil:
			r.opts.Log.Warn("record_ignored", "topic", r.opts.Topic, "offset", rec.Offset, "err", err)
		case pending:
			// This VM's own change is newer than the record.
		case rec.Value == nil:
			r.forget(d)
		default:
			r.add(now, d, &deathState{at: time.UnixMilli(value.AtMs), expires: time.UnixMilli(value.ExpiresMs)})
		}
	}
}

// save queues a change for the store. The caller holds the lock.
func (r *Register) save(d wire.Death, c change) {
	if state := r.deaths[d.Fingerprint][d]; c == remove && state != nil && state.own && !state.appended {
		delete(r.unsaved, d) // no other VM has seen it
		return
	}
	if len(r.unsaved) >= maxUnsaved || len(d.Key()) > maxKeyBytes {
		r.events.Add("unshared", 1)
		return
	}
	r.unsaved[d] = c
	process.Notify(r.changed)
}

// saveLoop appends queued changes and removes expired wire.Deaths until ctx ends.
func (r *Register) saveLoop(ctx context.Context) {
	var outage process.Outage
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			r.sweep(time.Now())
			continue
		case <-r.changed:
		}
		delay, cancel := context.WithTimeout(ctx, saveDelay)
		select {
		case <-delay.Done():
		case <-r.urgent:
		}
		cancel()
		for ctx.Err() == nil {
			err := r.appendUnsaved(ctx)
			if err == nil {
				outage.Recovered(r.opts.Log, "crashes_append")
				break
			}
			outage.Failed(r.opts.Log, "crashes_append", err)
			process.Sleep(ctx, saveRetryDelay)
		}
	}
}

// appendUnsaved appends the queued changes. After a failure they are queued again: records may be appended twice.
func (r *Register) appendUnsaved(ctx context.Context) error {
	r.mu.Lock()
	changes := r.unsaved
	r.unsaved = map[wire.Death]change{}
	records := make([]store.KeyedRecord, 0, len(changes))
	for d, c := range changes {
		rec := store.KeyedRecord{Key: d.Key()}
		if state := r.deaths[d.Fingerprint][d]; c == put && state != nil {
			state.appended = true
			rec.Value, _ = json.Marshal(deathRecord{AtMs: state.at.UnixMilli(), ExpiresMs: state.expires.UnixMilli()}) // integers always encode
		}
		records = append(records, rec)
	}
	r.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	err := r.opts.Store.AppendKeyed(ctx, r.opts.Topic, records)
	if err == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, c := range changes {
		if _, newer := r.unsaved[d]; !newer {
			r.unsaved[d] = c
		}
	}
	return err
}

// sweep removes expired wire.Deaths, those of other VMs only after orphanGrace.
func (r *Register) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.deaths {
		for d, state := range known {
			if state.own && now.After(state.expires) || now.After(state.expires.Add(orphanGrace)) {
				r.save(d, remove)
				r.forget(d)
			}
		}
	}
}
