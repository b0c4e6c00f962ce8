package origins

import (
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

const (
	// originTTL is how long an origin is kept, longer than clients take a stream up.
	originTTL = 2 * time.Minute
	// maxOrigins limits the origins that a VM keeps; the oldest are evicted.
	maxOrigins = 50_000
)

// table holds origins by the ID of the attempt, the oldest first in order.
type table struct {
	entries map[string]entry
	order   []string
}

type entry struct {
	wire.Origin
	at  time.Time
	own bool // the stream began at this VM
}

func newTable() *table { return &table{entries: map[string]entry{}} }

// add records an origin of another VM. The first record of an ID holds.
func (t *table) add(now time.Time, o wire.Origin) { t.insert(entry{o, now, false}) }

// addOwn records an origin of this VM.
func (t *table) addOwn(now time.Time, o wire.Origin) { t.insert(entry{o, now, true}) }

func (t *table) insert(e entry) {
	if _, ok := t.entries[e.ID]; ok || e.ID == "" {
		return
	}
	t.entries[e.ID] = e
	t.order = append(t.order, e.ID)
	for len(t.order) > 0 && (len(t.order) > maxOrigins || e.at.Sub(t.entries[t.order[0]].at) > originTTL) {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

// find returns the origin with an ID.
func (t *table) find(now time.Time, id string) (wire.Origin, bool) {
	e, ok := t.entries[id]
	return e.Origin, ok && now.Sub(e.at) <= originTTL
}

// ownOfPool returns the origins of this VM's streams in a pool.
func (t *table) ownOfPool(now time.Time, pool string) []wire.Origin {
	var out []wire.Origin
	for _, e := range t.entries {
		if e.own && e.Pool == pool && now.Sub(e.at) <= originTTL {
			out = append(out, e.Origin)
		}
	}
	return out
}
