package versions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/store"
)

// orderWindow is how long after its record in the log an order may still be sent. It bounds how
// late a holder that has been succeeded can act, and with the store's answer time it must leave
// room for one round trip.
const orderWindow = 500 * time.Millisecond

// readBytes is about the most that one read of waves returns.
const readBytes = 1 << 20

// errNotHolder tells that this VM may not give orders now.
var errNotHolder = errors.New("another VM gives the orders, or may still give some; wait until its time has passed")

// tenureRecord stands in the log before each wave of orders.
type tenureRecord struct {
	Holder string `json:"holder"`
}

// Tenure is the right to give orders to the engines of one pool. Each wave of orders is preceded by
// a record that is appended on the condition that nobody else has appended one, so a holder that
// was succeeded finds out before it acts. A successor waits until the last wave of its predecessor
// is old enough; times are taken from a clock that goes on while the VM is suspended.
type Tenure struct {
	log      store.Log
	part     store.Partition
	self     string
	handover time.Duration
	clock    func() time.Duration

	held   bool
	token  int64
	end    int64
	from   time.Duration // orders may be given from then on
	window time.Duration // orders of the newest wave may be sent until then
}

// NewTenure returns a tenure that is not held. handover is how far apart the orders of two holders
// must be; clock is the time since boot, with suspensions.
func NewTenure(log store.Log, part store.Partition, self string, handover time.Duration, clock func() time.Duration) *Tenure {
	return &Tenure{log: log, part: part, self: self, handover: handover, clock: clock}
}

// Drop gives the tenure up.
func (t *Tenure) Drop() { t.held = false }

// Token is the fencing token of this tenure.
func (t *Tenure) Token() int64 { return t.token }

// Acquire takes the tenure over if this VM does not hold it. It returns how long to wait before the
// first wave.
func (t *Tenure) Acquire(ctx context.Context) (time.Duration, error) {
	if t.held {
		return max(0, t.from-t.clock()), nil
	}
	last, err := t.readToEnd(ctx)
	if err != nil {
		return 0, err
	}
	at := t.end
	if err := t.append(ctx); err != nil {
		return 0, err
	}
	// Offsets start at 0 and tokens at 1, so that a token is never mistaken for none.
	t.held, t.token, t.from = true, at+1, t.clock()
	if last != nil && last.Holder != t.self {
		t.from += t.handover + orderWindow + orderWindow
	}
	return max(0, t.from-t.clock()), nil
}

// readToEnd reads the partition's records and returns the last, nil if there is none.
func (t *Tenure) readToEnd(ctx context.Context) (*tenureRecord, error) {
	var last *tenureRecord
	from := t.end
	for {
		b, err := t.log.Read(ctx, t.part, from, 0, readBytes)
		var truncated *store.TruncatedError
		if errors.As(err, &truncated) {
			// An expired record was somebody's: its holder must be assumed to be another.
			from, last = truncated.First, &tenureRecord{}
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("reading the tenure of %s/%d: %w", t.part.Topic, t.part.Index, err)
		}
		for _, r := range b.Records {
			rec := &tenureRecord{}
			if err := json.Unmarshal(r, rec); err != nil {
				rec = &tenureRecord{} // an unreadable record counts as another holder's
			}
			last = rec
		}
		from = b.From + int64(len(b.Records))
		t.end = from
		if from >= b.End {
			return last, nil
		}
	}
}

func (t *Tenure) append(ctx context.Context) error {
	data, err := json.Marshal(tenureRecord{Holder: t.self})
	if err != nil {
		return err
	}
	if _, err := t.log.AppendAt(ctx, t.part, t.end, [][]byte{data}); err != nil {
		t.held = false
		if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
			return fmt.Errorf("%w: %w", errNotHolder, err)
		}
		return err
	}
	t.end++
	return nil
}

// Begin records a wave. Its orders may be sent while MaySend holds.
func (t *Tenure) Begin(ctx context.Context) error {
	if !t.held || t.clock() < t.from {
		return errNotHolder
	}
	sent := t.clock()
	if err := t.append(ctx); err != nil {
		return err
	}
	t.window = sent + orderWindow
	return nil
}

// MaySend tells whether an order of the newest wave may still be sent.
func (t *Tenure) MaySend() bool { return t.held && t.clock() < t.window }
