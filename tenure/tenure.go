// Package tenure decides which VM runs the work of a partition and orders its engines. The right is
// held by records of the platform's log: each record is appended on the condition that nobody else
// appended one, so a holder that was succeeded finds out before it acts. All VMs that could carry
// the work read along, and one of them takes over when the holder's records stop.
package tenure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Topic holds the records.
const Topic = "tenures"

// Times of a tenure.
const (
	// renewEvery is how often a holder writes a record.
	renewEvery = 300 * time.Millisecond
	// silence is how long a candidate hears nothing before it takes over: two records that did not come,
	// and the answers of a slow store.
	silence = 800 * time.Millisecond
	// rankDelay keeps candidates apart: each of the ranks waits that much longer than the one before.
	rankDelay = 100 * time.Millisecond
	ranks     = 5
	// standbySilence is how long a VM waits that is better not the holder.
	standbySilence = 3 * time.Second
	// standbyEvery is how often such a VM looks.
	standbyEvery = 1200 * time.Millisecond
	// orderWindow is how long after its record an order may still be sent, which bounds how late a
	// holder that was succeeded can act. One answer of a slow store must fit into it.
	orderWindow = 500 * time.Millisecond
	// retry is the pause after a call that failed.
	retry = 200 * time.Millisecond
	// callTimeout bounds a call: one whose answer was lost is repeated before others take over.
	callTimeout = 500 * time.Millisecond
	// readBytes is about the most that one read returns.
	readBytes = 256 << 10
)

// ErrNotHeld tells that this VM may not act now.
var ErrNotHeld = errors.New("another VM holds the tenure, or its last orders are too recent; wait for the next try")

// record is what holders write.
type record struct {
	// Machine is the holder's address, Process tells its restarts apart.
	Machine string `json:"machine"`
	Process string `json:"process"`
	// SinceOrdersMs is how long ago the last order by any holder was sent, or less.
	SinceOrdersMs int64 `json:"since_orders_ms"`
	Release       bool  `json:"release,omitempty"`
}

// Options configure a Tenure.
type Options struct {
	Store     store.Log
	Partition int
	Machine   string
	Process   string
	// Handover is how far apart the orders of two holders must be.
	Handover time.Duration
	// Standby VMs take over only where no other candidate does.
	Standby bool
	// Clock goes on while the VM is suspended.
	Clock func() time.Duration
	Log   *slog.Logger
	// Changed is told when the tenure was won or lost.
	Changed func()
}

// Tenure is one VM's view of a partition's tenure.
type Tenure struct {
	o    Options
	part store.Partition
	// delay is this VM's rank among the candidates, as a time.
	delay time.Duration

	mu       sync.Mutex // guards the state and orders the appends
	stopped  bool
	held     bool
	token    int64
	end      int64
	last     *record
	heardAt  time.Duration // when the newest record of another holder was read, or watching began
	watching bool
	ordersAt time.Duration // when the last order by any holder was sent, or later
	window   time.Duration // orders of this tenure's newest wave may be sent until then
	apart    bool          // the predecessors' orders are far enough in the past
}

// New returns a tenure that is not held.
func New(o Options) *Tenure {
	return &Tenure{
		o: o, part: store.Partition{Topic: Topic, Index: o.Partition},
		delay: time.Duration(xxhash.Sum64String(o.Process)%ranks) * rankDelay,
	}
}

// Held tells whether this VM holds the tenure, and its fencing token.
func (t *Tenure) Held() (token int64, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.token, t.held
}

// Run keeps the tenure, or reads along to take it over, until ctx ends or it is released.
func (t *Tenure) Run(ctx context.Context) {
	var outage process.Outage
	for ctx.Err() == nil && !t.isStopped() {
		pause, err := t.step(ctx)
		switch {
		case errors.Is(err, ErrNotHeld) || ctx.Err() != nil:
			pause = retry
		case err != nil:
			outage.Failed(t.o.Log, "tenure_store", err, "partition", t.part.Index)
			pause = retry
		default:
			outage.Over(t.o.Log, "tenure_store", "partition", t.part.Index)
		}
		process.Sleep(ctx, pause)
	}
}

func (t *Tenure) isStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// step renews the tenure, or watches its holder, and returns when to go on.
func (t *Tenure) step(ctx context.Context) (time.Duration, error) {
	if _, held := t.Held(); held {
		t.mu.Lock()
		defer t.mu.Unlock()
		return renewEvery, t.append(ctx, record{})
	}
	if err := t.watch(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return 0, nil
	}
	if !t.free() {
		if t.o.Standby {
			return standbyEvery, nil
		}
		return 0, nil
	}
	return 0, t.take(ctx)
}

// free tells whether a candidate may take the tenure. The caller holds mu.
func (t *Tenure) free() bool {
	quiet := t.o.Clock() - t.heardAt
	if t.o.Standby {
		return quiet >= standbySilence
	}
	if t.last != nil && t.last.Process == t.o.Process {
		return true
	}
	if t.last == nil || t.last.Release {
		return quiet >= t.delay
	}
	return quiet >= silence+t.delay
}

// watch reads what holders wrote.
func (t *Tenure) watch(ctx context.Context) error {
	t.mu.Lock()
	from, wait := t.end, renewEvery
	if !t.watching || t.o.Standby {
		wait = 0
	}
	t.mu.Unlock()
	b, err := t.read(ctx, from, wait)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.absorb(b)
	if !t.watching && t.end >= b.End {
		t.watching, t.heardAt = true, t.o.Clock()
	}
	return nil
}

// absorb takes the records of a read into the state. The caller holds mu.
func (t *Tenure) absorb(b store.Batch) {
	for i, data := range b.Records {
		if b.From+int64(i) < t.end {
			continue
		}
		r := &record{}
		if err := json.Unmarshal(data, r); err != nil {
			t.o.Log.Error("record_ignored", "topic", Topic, "partition", t.part.Index, "err", err)
			r = &record{} // it counts as another holder's
		}
		t.last, t.heardAt = r, t.o.Clock()
		t.end = b.From + int64(i) + 1
	}
}

func (t *Tenure) read(ctx context.Context, from int64, wait time.Duration) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	b, err := t.o.Store.Read(ctx, t.part, from, wait, readBytes)
	var truncated *store.TruncatedError
	if errors.As(err, &truncated) {
		// Whose records have expired is not known.
		t.mu.Lock()
		t.end, t.last = truncated.First, &record{}
		t.mu.Unlock()
		return store.Batch{From: truncated.First, End: truncated.First + 1}, nil
	}
	if err != nil {
		return store.Batch{}, fmt.Errorf("reading the tenure of partition %d: %w", t.part.Index, err)
	}
	return b, nil
}

// take appends the record that makes this VM the holder. The caller holds mu.
func (t *Tenure) take(ctx context.Context) error {
	t.ordersAt, t.window, t.apart = t.o.Clock()-t.o.Handover-orderWindow, 0, false
	if t.last != nil {
		t.ordersAt = t.heardAt - time.Duration(t.last.SinceOrdersMs)*time.Millisecond
	}
	at := t.end
	if err := t.append(ctx, record{}); err != nil {
		return err
	}
	// Offsets start at 0 and tokens at 1, so that a token is never mistaken for none.
	t.held, t.token = true, at+1
	t.o.Log.Info("tenure_taken", "partition", t.part.Index, "token", t.token, "orders_in_ms", t.waitLocked().Milliseconds())
	t.o.Changed()
	return nil
}

// append writes a record if nobody else did. The caller holds mu.
func (t *Tenure) append(ctx context.Context, r record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		r.Machine, r.Process = t.o.Machine, t.o.Process
		r.SinceOrdersMs = max(0, t.o.Clock()-t.ordersAt).Milliseconds()
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		_, err = t.o.Store.AppendAt(ctx, t.part, t.end, [][]byte{data})
		var conflict *store.ConflictError
		switch {
		case err == nil:
			t.end++
			t.last = &r
			return nil
		case !errors.As(err, &conflict):
			return err
		}
		if err := t.settle(ctx); err != nil {
			return err
		}
	}
}

// settle finds out whose records stand in the way: an append whose answer was lost is this VM's own.
// The caller holds mu.
func (t *Tenure) settle(ctx context.Context) error {
	b, err := t.o.Store.Read(ctx, t.part, t.end, 0, readBytes)
	if err != nil {
		return fmt.Errorf("reading the tenure of partition %d: %w", t.part.Index, err)
	}
	t.absorb(b)
	if t.last != nil && t.last.Process == t.o.Process && t.held {
		return nil // an earlier record that was not answered has held
	}
	if t.held {
		t.held = false
		t.o.Log.Info("tenure_lost", "partition", t.part.Index, "token", t.token, "to", t.last.Process)
		t.o.Changed()
	}
	return ErrNotHeld
}

// waitLocked returns how long the predecessors' orders keep this holder from giving its own. The caller
// holds mu.
func (t *Tenure) waitLocked() time.Duration {
	if t.apart {
		return 0
	}
	return max(0, t.ordersAt+t.o.Handover+orderWindow-t.o.Clock())
}

// OrdersIn returns how long it takes until orders may be given; ok is false if the tenure is not held.
func (t *Tenure) OrdersIn() (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waitLocked(), t.held
}

// Begin records a wave of orders, which may be sent while MaySend holds.
func (t *Tenure) Begin(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.held || t.waitLocked() > 0 {
		return ErrNotHeld
	}
	t.apart = true
	sent := t.o.Clock()
	t.ordersAt = sent + orderWindow // the record and those after it say that orders follow
	if err := t.append(ctx, record{}); err != nil {
		return err
	}
	t.window = sent + orderWindow
	return nil
}

// MaySend tells whether an order of the newest wave may still be sent.
func (t *Tenure) MaySend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held && t.o.Clock() < t.window
}

// Release gives the tenure up for the next candidate, and ends this VM's part.
func (t *Tenure) Release(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if !t.held {
		return
	}
	if err := t.append(ctx, record{Release: true}); err != nil {
		t.o.Log.Warn("tenure_kept", "partition", t.part.Index, "err", err)
	}
	t.held = false
	t.o.Changed()
}

// State is what the state dump shows of a tenure.
type State struct {
	Held   bool   `json:"held"`
	Token  int64  `json:"token,omitempty"`
	Holder string `json:"holder,omitempty"`
	Offset int64  `json:"offset"`
}

// State returns what the state dump shows.
func (t *Tenure) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Held: t.held, Token: t.token, Offset: t.end}
	if t.last != nil {
		s.Holder = t.last.Process
	}
	return s
}
