package origins

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

const (
	// recordWait is how long one read of the record waits. The store may fail to end a wait, so that two of them fit into freshness.
	recordWait = 800 * time.Millisecond
	// maintainInterval is how often the record is compared with the targets if nothing has changed.
	maintainInterval = 5 * time.Second
	// appendRetryDelay is the pause after a failed append.
	appendRetryDelay = 250 * time.Millisecond
	// removalSpread is the time within which the VMs remove a version that is gone; the first one does it.
	removalSpread = 2 * time.Second
)

// followRecord follows the record of the pools' software versions until ctx ends.
func (r *Register) followRecord(ctx context.Context) {
	var outage process.Outage
	var reading time.Duration
	follower := store.Follower{
		Log: r.opts.Store, Topic: r.opts.SoftwareTopic, Wait: recordWait, Confirm: true,
		Reading: func() { reading = r.opts.BootTime() },
		Complete: func() {
			outage.Recovered(r.opts.Log, "software_record_read")
			r.recordRead(reading)
		},
		Listed: func(records []store.KeyedRecord, next int64) {
			r.apply(time.Now(), append(records, r.unlisted(records)...), next)
		},
		Appended: func(records []store.KeyedRecord) {
			if len(records) > 0 {
				r.apply(time.Now(), records, records[len(records)-1].Offset+1)
			}
		},
		Truncated: func(from int64, err *store.TruncatedError) {
			r.opts.Log.Warn("topic_truncated", "topic", r.opts.SoftwareTopic, "from", from, "first", err.First)
		},
		Failed: func(err error) {
			outage.Failed(r.opts.Log, "software_record_read", err)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.handOverAll() // the record may have become too old
		},
	}
	follower.Run(ctx)
}

// unlisted returns removals of the known versions that a listing of the topic does not hold.
func (r *Register) unlisted(records []store.KeyedRecord) []store.KeyedRecord {
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		listed[rec.Key] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var removals []store.KeyedRecord
	for _, p := range r.pools {
		for key := range p.recorded {
			if !listed[key] {
				removals = append(removals, store.KeyedRecord{Key: key})
			}
		}
	}
	return removals
}

// apply applies records of the topic up to the offset next.
func (r *Register) apply(now time.Time, records []store.KeyedRecord, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = next
	changed := map[string]bool{}
	for _, rec := range records {
		pool, err := poolOfKey(rec.Key)
		if err == nil {
			err = r.pool(pool).apply(now, rec)
			changed[pool] = true
		}
		if err != nil {
			r.events.Add("record_ignored", 1)
			r.opts.Log.Warn("record_ignored", "topic", r.opts.SoftwareTopic, "offset", rec.Offset, "err", err)
		}
	}
	for name := range changed {
		r.handOver(now, name, r.pools[name])
	}
	process.Notify(r.changed)
}

// recordRead notes that a read which began at a boot time came to the end of the record.
func (r *Register) recordRead(began time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete {
		process.Notify(r.changed)
	}
	r.readAt, r.complete = began, true
	r.handOverAll()
}

// handOverAll hands the origins of streams over, of all pools in which other VMs may need them. The caller holds the lock.
func (r *Register) handOverAll() {
	for name, p := range r.pools {
		r.handOver(time.Now(), name, p)
	}
}

// maintainRecord keeps the record in line with the registered targets until ctx ends.
func (r *Register) maintainRecord(ctx context.Context) {
	var outage process.Outage
	check := time.NewTicker(maintainInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
		case <-check.C:
			process.Sleep(ctx, rand.N(removalSpread))
		}
		for ctx.Err() == nil {
			err := r.appendDue(ctx)
			if err == nil {
				outage.Recovered(r.opts.Log, "software_record_append")
				break
			}
			outage.Failed(r.opts.Log, "software_record_append", err)
			process.Sleep(ctx, appendRetryDelay)
		}
	}
}

// dueRecords are the records that a VM appends next. Those with a condition are appended only if nothing was appended since the VM's last read.
type dueRecords struct {
	additions   map[string][]store.KeyedRecord // by pool
	conditional bool
	removals    []store.KeyedRecord // only without additions
	next        int64               // the offset after the records that were read
}

// due returns the records that are due.
func (r *Register) due() dueRecords {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := dueRecords{additions: map[string][]store.KeyedRecord{}, next: r.next}
	if !r.complete {
		return d
	}
	now := time.Now()
	for name, p := range r.pools {
		records := p.firstRecords(name, r.opts.FirstStart)
		d.conditional = d.conditional || len(records) > 0
		more, removal := p.due(now, name)
		if records = append(records, more...); len(records) > 0 {
			d.additions[name] = records
		}
		if removal != nil && r.reliable() {
			d.removals = append(d.removals, *removal)
		}
	}
	return d
}

// appendDue appends the records that are due. After a conflict, the next read tells what is due.
func (r *Register) appendDue(ctx context.Context) error {
	d := r.due()
	var err error
	switch {
	case len(d.additions) > 0:
		var all []store.KeyedRecord
		for _, records := range d.additions {
			all = append(all, records...)
		}
		if d.conditional {
			err = r.opts.Store.AppendKeyedAt(ctx, r.opts.SoftwareTopic, d.next, all)
		} else {
			err = r.opts.Store.AppendKeyed(ctx, r.opts.SoftwareTopic, all)
		}
		if err == nil {
			err = r.added(d)
		}
	case len(d.removals) > 0:
		// A version that another VM has recorded meanwhile stays: its targets may be back.
		err = r.opts.Store.AppendKeyedAt(ctx, r.opts.SoftwareTopic, d.next, d.removals)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// added applies additions that were appended.
func (r *Register) added(d dueRecords) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pool, records := range d.additions {
		if err := r.pool(pool).added(time.Now(), records, d.next); err != nil {
			return err
		}
		r.opts.Log.Info("software_recorded", "pool", pool, "registered", r.pools[pool].registered, "recorded", len(r.pools[pool].recorded))
	}
	return nil
}
