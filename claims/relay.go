package claims

import (
	"errors"
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Timing and limits of a Relay.
const (
	// MinAppendInterval is the minimum time between two appends.
	MinAppendInterval = 100 * time.Millisecond
	// MaxQueued is the maximum number of claims that are queued or appended but not read back yet.
	MaxQueued = 4096
	// ResendAfter is how long a relay waits to read a record back before it resends it under the same
	// ID, and how long it rejects claims after a failed append.
	ResendAfter = time.Second
	// AbandonAfter is how long a relay resends a record; its claims may still take effect after that.
	AbandonAfter = 10 * time.Second
	// MaxReadAge is the maximum time since the end of the stream was last read; after that, new claims
	// are rejected.
	MaxReadAge = 8 * time.Second
)

// Errors of Add. The claim was neither queued nor appended.
var (
	// ErrQueueFull means that MaxQueued claims are queued or not read back yet.
	ErrQueueFull = errors.New("claims: too many claims wait for the log; try again")
	// ErrNotReady means that this node has not read all valid claims yet.
	ErrNotReady = errors.New("claims: not all claims that hold are known here yet; try again, or another zone")
	// ErrLogUnavailable means that an append has just failed (within ResendAfter) or that the end of the stream
	// was not read within MaxReadAge.
	ErrLogUnavailable = errors.New("claims: the log cannot be reached; try again later, or use a ticket")
	// ErrTableFull means that MaxKeys claims are valid.
	ErrTableFull = fmt.Errorf("claims: %d keys are held, the most that are kept; try again when some of them are older than %s", MaxKeys, ClaimTTL)
)

// unconfirmedRecord is a record that was appended but not read back yet.
type unconfirmedRecord struct {
	record    trial.NewRecord
	firstSent time.Time
	lastSent  time.Time
	claims    int
}

// Relay batches the claims of an availability zone into log records and returns how they were decided.
// It reads no clock (callers pass the time), does no I/O, and is not safe for concurrent use.
type Relay struct {
	table             *Table
	snapshotSchedule  *logtail.SnapshotSchedule
	queue             []Claim
	unconfirmed       []*unconfirmedRecord
	unconfirmedClaims int // number of claims in unconfirmed
	nextAppendAt      time.Time
	caughtUpAt        time.Time
	notReadySince     time.Time
	appendFailed      bool
	appendFailedAt    time.Time
	snapshotParts     []trial.NewRecord // parts of the current snapshot that are not appended yet
	process           string
	lastSerial        int
}

// NewRelay returns a relay that has read no records. process identifies the process in record IDs; seed
// spreads the nodes' snapshots over time.
func NewRelay(process string, seed uint64) *Relay {
	return &Relay{table: NewTable(), snapshotSchedule: logtail.NewSnapshotSchedule(seed), process: process}
}

// Table returns the state derived from the stream.
func (r *Relay) Table() *Table { return r.table }

// Next returns the offset of the next record to apply.
func (r *Relay) Next() trial.Offset { return r.table.Next() }

// SetFirstRetained sets the oldest retained offset of the stream, as in Table.
func (r *Relay) SetFirstRetained(first trial.Offset) { r.table.SetFirstRetained(first) }

// CaughtUp records that all records that existed at the given time were applied.
func (r *Relay) CaughtUp(at time.Time) {
	if at.After(r.caughtUpAt) {
		r.caughtUpAt = at
	}
	if r.table.Ready() {
		r.notReadySince = time.Time{}
	} else if r.notReadySince.IsZero() {
		r.notReadySince = at
	}
}

// Apply applies a record and returns the decisions on its claims.
func (r *Relay) Apply(now time.Time, rec trial.Record, retention time.Duration) []Decision {
	next := r.table.Next()
	out := r.table.Apply(rec)
	if rec.Offset < next {
		return nil
	}
	for i, u := range r.unconfirmed {
		if u.record.ID == rec.ID {
			r.unconfirmedClaims -= u.claims
			r.unconfirmed = append(r.unconfirmed[:i], r.unconfirmed[i+1:]...)
			break
		}
	}
	if d, err := decode(rec.Data); err == nil && d.Type == TypeSnapshot && d.Part == 0 && now.Sub(r.caughtUpAt) < MaxReadAge {
		r.snapshotSchedule.RecordSnapshot(now, retention)
	}
	return out
}

// Add queues a claim and returns nil, or returns the valid claim of the key if there is one.
func (r *Relay) Add(now time.Time, p wire.ClaimParams) (*wire.ClaimResult, error) {
	if err := Validate(&p); err != nil {
		return nil, err
	}
	if res, ok := r.table.Lookup(p.Key); ok {
		return &res, nil
	}
	switch {
	case !r.table.Ready():
		return nil, ErrNotReady
	case now.Sub(r.caughtUpAt) > MaxReadAge || (r.appendFailed && now.Sub(r.appendFailedAt) < ResendAfter):
		return nil, ErrLogUnavailable
	case r.table.Len() >= r.table.maxKeys:
		return nil, ErrTableFull
	case len(r.queue)+r.unconfirmedClaims >= MaxQueued:
		return nil, ErrQueueFull
	}
	r.queue = append(r.queue, Claim{Key: p.Key, Fingerprint: p.Fingerprint, ClaimID: p.ClaimID, GateID: p.GateID, GateIncarnation: p.GateIncarnation})
	return nil, nil
}

// HandleAppendResult records the result of an append. Its claims are decided only when the record is read back.
func (r *Relay) HandleAppendResult(now time.Time, err error) {
	var limited *trial.RateLimitedError
	switch {
	case errors.As(err, &limited):
		r.nextAppendAt = now.Add(limited.RetryAfter)
	case err != nil:
		r.appendFailed, r.appendFailedAt = true, now
	default:
		r.appendFailed = false
	}
}

// LastAppendFailed reports whether the last append failed.
func (r *Relay) LastAppendFailed() bool { return r.appendFailed }

// Queued returns the number of claims that are not appended yet.
func (r *Relay) Queued() int { return len(r.queue) }

// Step returns the records to append now, or none before the minimum time since the last append has
// passed. clockMs is the wall-clock time in Unix milliseconds.
func (r *Relay) Step(now time.Time, clockMs int64, retention time.Duration) []trial.NewRecord {
	if now.Before(r.nextAppendAt) {
		return nil
	}
	out := r.resend(now)
	if len(r.queue) > 0 {
		out = append(out, r.nextBatch(now, clockMs))
	}
	if s := r.maintainStream(now, retention); s != nil {
		out = append(out, *s)
	}
	if len(out) > 0 {
		r.nextAppendAt = now.Add(MinAppendInterval)
	}
	return out
}

func (r *Relay) nextBatch(now time.Time, clockMs int64) trial.NewRecord {
	n := min(len(r.queue), MaxPerRecord)
	rec := NewRecord(r.nextRecordID(), clockMs, r.queue[:n])
	r.queue = append([]Claim(nil), r.queue[n:]...)
	r.unconfirmed = append(r.unconfirmed, &unconfirmedRecord{record: rec, firstSent: now, lastSent: now, claims: n})
	r.unconfirmedClaims += n
	return rec
}

// resend returns the records that were not read back within ResendAfter, and drops those older than
// AbandonAfter.
func (r *Relay) resend(now time.Time) []trial.NewRecord {
	var out []trial.NewRecord
	kept := r.unconfirmed[:0]
	for _, u := range r.unconfirmed {
		if now.Sub(u.firstSent) > AbandonAfter {
			r.unconfirmedClaims -= u.claims
			continue
		}
		kept = append(kept, u)
		if now.Sub(u.lastSent) >= ResendAfter {
			u.lastSent = now
			out = append(out, u.record)
		}
	}
	r.unconfirmed = kept
	return out
}

// maintainStream returns the next part of a snapshot when one is due. Without complete state it returns
// a reset after ClaimTTL, when no lost claim can still be valid.
func (r *Relay) maintainStream(now time.Time, retention time.Duration) *trial.NewRecord {
	if !r.table.Ready() {
		if r.notReadySince.IsZero() || now.Sub(r.caughtUpAt) > MaxReadAge || now.Sub(r.notReadySince) < ClaimTTL {
			return nil
		}
		r.notReadySince = now
		return &trial.NewRecord{ID: r.nextRecordID(), Data: encode(Record{Type: TypeReset})}
	}
	if len(r.snapshotParts) == 0 && r.table.next > 1 && now.Sub(r.caughtUpAt) <= MaxReadAge && r.snapshotSchedule.Due(now, retention) {
		name := r.nextRecordID()
		for _, part := range r.table.Snapshot(name) {
			r.snapshotParts = append(r.snapshotParts, trial.NewRecord{ID: r.nextRecordID(), Data: encode(part)})
		}
	}
	if len(r.snapshotParts) == 0 {
		return nil
	}
	rec := r.snapshotParts[0]
	r.snapshotParts = r.snapshotParts[1:]
	return &rec
}

func (r *Relay) nextRecordID() string {
	r.lastSerial++
	return fmt.Sprintf("%s/c%d", r.process, r.lastSerial)
}
