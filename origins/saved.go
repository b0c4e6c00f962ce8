package origins

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/wire"
)

const (
	// topicOrigins holds origins of streams of pools with several versions, in one partition.
	topicOrigins = "stream-origins"
	// saveDelay is how long origins are collected before they are appended together. With more VMs it is longer: savesPerSecond limits the
	// appends of all VMs.
	saveDelay      = 20 * time.Millisecond
	savesPerSecond = 400
	// saveRetryDelay is the pause after a failed append of origins.
	saveRetryDelay = time.Second
	// saveTimeout bounds an append of origins.
	saveTimeout = time.Second
	// maxUnsaved limits the origins that wait to be appended; further ones are dropped.
	maxUnsaved = 10_000
	// savedReadBytes is the size of one read of the topic.
	savedReadBytes = 1 << 20
)

// savedOrigins is the state of appending and reading origins. The register's lock guards it, except for next, which reading guards.
type savedOrigins struct {
	unsaved []wire.Origin
	saving  bool

	// reading is held during a read; began is when the newest complete one began, next is the offset after it.
	reading sync.Mutex
	began   time.Time
	next    int64
}

func originPartition() store.Partition { return store.Partition{Topic: topicOrigins} }

// save queues an origin for the store. The caller holds the lock.
func (r *Register) save(o wire.Origin) {
	s := &r.saved
	if len(s.unsaved) >= maxUnsaved {
		r.events.Add("unsaved", 1)
		return
	}
	s.unsaved = append(s.unsaved, o)
	if !s.saving {
		s.saving = true
		time.AfterFunc(saveDelay, r.saveOrigins)
	}
}

// saveOrigins appends the queued origins, and those that are queued meanwhile.
func (r *Register) saveOrigins() {
	var outage process.Outage
	for {
		r.mu.Lock()
		s := &r.saved
		origins := s.unsaved
		s.unsaved, s.saving = nil, len(origins) > 0
		pause := time.Second * time.Duration(len(r.vms)) / savesPerSecond
		r.mu.Unlock()
		if len(origins) == 0 {
			return
		}
		if err := r.appendOrigins(origins); err != nil {
			outage.Failed(r.opts.Log, "origins_append", err)
			r.saveAgain(origins)
			pause = max(pause, saveRetryDelay)
		} else {
			outage.Recovered(r.opts.Log, "origins_append")
			r.events.Add("saved", int64(len(origins)))
		}
		time.Sleep(max(pause, saveDelay))
	}
}

// saveAgain queues origins again whose append failed, if their clients may still need them. Copies in the store do no harm.
func (r *Register) saveAgain(origins []wire.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, o := range origins {
		if _, ok := r.table.find(now, o.ID); ok {
			r.save(o)
		}
	}
}

// appendOrigins appends origins as one record, or several where they are long.
func (r *Register) appendOrigins(origins []wire.Origin) error {
	const perRecord = 500 // some 100 bytes each
	var records [][]byte
	for len(origins) > 0 {
		n := min(perRecord, len(origins))
		data, err := json.Marshal(wire.RecordOriginsParams{Origins: origins[:n]})
		if err != nil {
			return err
		}
		records, origins = append(records, data), origins[n:]
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	_, err := r.opts.Store.Append(ctx, originPartition(), records)
	return err
}

// findSaved reads the origins in the store and returns that of a stream.
func (r *Register) findSaved(ctx context.Context, id string) (wire.Origin, bool) {
	if err := r.readSaved(ctx, time.Now()); err != nil {
		r.events.Add("unread", 1)
		r.opts.Log.Warn("origins_unread", "id", id, "err", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.find(time.Now(), id)
}

// readSaved reads the origins in the store, unless a read that began after since has come to their end.
func (r *Register) readSaved(ctx context.Context, since time.Time) error {
	s := &r.saved
	s.reading.Lock()
	defer s.reading.Unlock()
	began := time.Now()
	for s.began.Before(since) {
		b, err := r.opts.Store.Read(ctx, originPartition(), s.next, 0, savedReadBytes)
		var truncated *store.TruncatedError
		switch {
		case errors.As(err, &truncated) && truncated.First > s.next:
			s.next = truncated.First
		case err != nil:
			return err
		case len(b.Records) == 0:
			s.began = began
		default:
			r.applySaved(b)
			s.next = b.From + int64(len(b.Records))
			if s.next >= b.End {
				s.began = began
			}
		}
	}
	return nil
}

// applySaved applies records of origins.
func (r *Register) applySaved(b store.Batch) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var outage process.Outage
	for i, data := range b.Records {
		var p wire.RecordOriginsParams
		if err := json.Unmarshal(data, &p); err != nil {
			r.events.Add("record_ignored", 1)
			outage.Failed(r.opts.Log, "record_ignored", err, "topic", topicOrigins, "offset", b.From+int64(i))
			continue
		}
		for _, o := range p.Origins {
			r.table.add(now, o)
		}
	}
}
