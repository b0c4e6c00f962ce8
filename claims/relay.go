package claims

import (
	"errors"
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Bounds of a relay.
const (
	// AppendPause is the least time between two appends of claims.
	AppendPause = 100 * time.Millisecond
	// MaxQueued bounds the claims that wait for an append or for their read-back.
	MaxQueued = 4096
	// ResendAfter is how long an append may take to be read back before it is sent again under the
	// same ID.
	ResendAfter = time.Second
	// GiveUpAfter is how long a record is sent again; its claims may still take effect later.
	GiveUpAfter = 10 * time.Second
	// FreshFor is how long ago the end of the stream must have been read to take new claims.
	FreshFor = 8 * time.Second
)

// Errors of Add; nothing of the claim was appended.
var (
	// ErrFull means that too many claims wait.
	ErrFull = errors.New("claims: too many claims wait for the log; try again")
	// ErrNotReady means that not all claims that hold are known here.
	ErrNotReady = errors.New("claims: not all claims that hold are known here yet; try again, or another zone")
	// ErrLogOut means that the log cannot be written or read now.
	ErrLogOut = errors.New("claims: the log cannot be reached; try again later, or use a ticket")
	// ErrTooMany means that MaxKeys claims hold.
	ErrTooMany = fmt.Errorf("claims: %d keys are held, the most that are kept; try again when some of them are older than %s", MaxKeys, KeyWindow)
)

// batch is a record that was not read back yet.
type batch struct {
	record trial.NewRecord
	first  time.Time
	sent   time.Time
	claims int
}

// Relay appends the claims of a zone together and tells how they were decided. It has no clock,
// does no I/O, and is not safe for concurrent use.
type Relay struct {
	table   *Table
	carry   *logtail.Carry
	queue   []Claim
	open    []*batch
	waiting int // claims in open batches
	nextAt  time.Time
	freshAt time.Time
	emptyAt time.Time
	logOut  bool
	outAt   time.Time
	carried []trial.NewRecord // parts of a snapshot that are still to be appended
	holder  string
	serial  int
}

// NewRelay returns a relay that has read nothing; holder names the process in record IDs.
func NewRelay(holder string, seed uint64) *Relay {
	return &Relay{table: NewTable(), carry: logtail.NewCarry(seed), holder: holder}
}

// Table returns the reader's state.
func (r *Relay) Table() *Table { return r.table }

// Next implements logtail.Consumer.
func (r *Relay) Next() trial.Offset { return r.table.Next() }

// Missed implements logtail.Consumer.
func (r *Relay) Missed(first trial.Offset) { r.table.Missed(first) }

// CaughtUp tells that all records that existed at a time were applied.
func (r *Relay) CaughtUp(at time.Time) {
	if at.After(r.freshAt) {
		r.freshAt = at
	}
	if r.table.Ready() {
		r.emptyAt = time.Time{}
	} else if r.emptyAt.IsZero() {
		r.emptyAt = at
	}
}

// Apply takes a record and returns how its claims were decided.
func (r *Relay) Apply(now time.Time, rec trial.Record, retention time.Duration) []Decision {
	next := r.table.Next()
	out := r.table.Apply(rec)
	if rec.Offset < next {
		return nil
	}
	for i, b := range r.open {
		if b.record.ID == rec.ID {
			r.waiting -= b.claims
			r.open = append(r.open[:i], r.open[i+1:]...)
			break
		}
	}
	if d, err := decode(rec.Data); err == nil && d.Type == TypeSnapshot && d.Part == 0 && now.Sub(r.freshAt) < FreshFor {
		r.carry.Seen(now, retention)
	}
	return out
}

// Add takes a claim to be appended, or returns who holds its key already.
func (r *Relay) Add(now time.Time, p wire.ClaimParams) (*wire.ClaimResult, error) {
	if err := Check(&p); err != nil {
		return nil, err
	}
	if res, ok := r.table.Lookup(p.Key); ok {
		return &res, nil
	}
	switch {
	case !r.table.Ready():
		return nil, ErrNotReady
	case now.Sub(r.freshAt) > FreshFor || (r.logOut && now.Sub(r.outAt) < ResendAfter):
		return nil, ErrLogOut
	case r.table.Len() >= r.table.maxKeys:
		return nil, ErrTooMany
	case len(r.queue)+r.waiting >= MaxQueued:
		return nil, ErrFull
	}
	r.queue = append(r.queue, Claim{Key: p.Key, Fingerprint: p.Fingerprint, ClaimID: p.ClaimID, GateID: p.GateID, GateIncarnation: p.GateIncarnation})
	return nil, nil
}

// Appended tells how an append ended; what it changed is seen at read-back only.
func (r *Relay) Appended(now time.Time, err error) {
	var limited *trial.ErrRateLimited
	switch {
	case errors.As(err, &limited):
		r.nextAt = now.Add(limited.RetryAfter)
	case err != nil:
		r.logOut, r.outAt = true, now
	default:
		r.logOut = false
	}
}

// LogOut tells whether the newest append failed.
func (r *Relay) LogOut() bool { return r.logOut }

// Queued returns how many claims wait for their first append.
func (r *Relay) Queued() int { return len(r.queue) }

// Step returns the records to append together now.
func (r *Relay) Step(now time.Time, clockMs int64, retention time.Duration) []trial.NewRecord {
	if now.Before(r.nextAt) {
		return nil
	}
	out := r.resend(now)
	if len(r.queue) > 0 {
		out = append(out, r.batch(now, clockMs))
	}
	if s := r.stream(now, retention); s != nil {
		out = append(out, *s)
	}
	if len(out) > 0 {
		r.nextAt = now.Add(AppendPause)
	}
	return out
}

func (r *Relay) batch(now time.Time, clockMs int64) trial.NewRecord {
	n := min(len(r.queue), MaxPerRecord)
	rec := NewRecord(r.id(), clockMs, r.queue[:n])
	r.queue = append([]Claim(nil), r.queue[n:]...)
	r.open = append(r.open, &batch{record: rec, first: now, sent: now, claims: n})
	r.waiting += n
	return rec
}

// resend repeats records that were not read back, and gives up those that wait too long.
func (r *Relay) resend(now time.Time) []trial.NewRecord {
	var out []trial.NewRecord
	kept := r.open[:0]
	for _, b := range r.open {
		if now.Sub(b.first) > GiveUpAfter {
			r.waiting -= b.claims
			continue
		}
		kept = append(kept, b)
		if now.Sub(b.sent) >= ResendAfter {
			b.sent = now
			out = append(out, b.record)
		}
	}
	r.open = kept
	return out
}

// stream carries claims forward, one part at a time, or ends the wait of readers that lack the state.
func (r *Relay) stream(now time.Time, retention time.Duration) *trial.NewRecord {
	if !r.table.Ready() {
		if r.emptyAt.IsZero() || now.Sub(r.freshAt) > FreshFor || now.Sub(r.emptyAt) < KeyWindow {
			return nil
		}
		r.emptyAt = now
		return &trial.NewRecord{ID: r.id(), Data: encode(Record{Type: TypeReset})}
	}
	if len(r.carried) == 0 && r.table.next > 1 && now.Sub(r.freshAt) <= FreshFor && r.carry.Due(now, retention) {
		name := r.id()
		for _, part := range r.table.Snapshot(name) {
			r.carried = append(r.carried, trial.NewRecord{ID: r.id(), Data: encode(part)})
		}
	}
	if len(r.carried) == 0 {
		return nil
	}
	rec := r.carried[0]
	r.carried = r.carried[1:]
	return &rec
}

func (r *Relay) id() string {
	r.serial++
	return fmt.Sprintf("%s/c%d", r.holder, r.serial)
}
