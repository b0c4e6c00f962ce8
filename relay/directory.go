package relay

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Times of the directory.
const (
	// readWait is how long a read waits for a VM that starts or ends, readPause the time between two reads.
	readWait  = 3 * time.Second
	readPause = time.Second
	// announceRetryDelay is the pause after an announcement failed.
	announceRetryDelay = time.Second
	// withdrawTimeout bounds the withdrawal of the announcement at a planned stop.
	withdrawTimeout = 300 * time.Millisecond
)

// Directory announces this VM's relay to the others in a compacted topic of the store, by VM, and follows their
// announcements. VMs that were lost stay listed: their relays do not answer.
type Directory struct {
	Store store.Log
	Topic string
	// VM and Address are this VM's name and the address of its relay.
	VM, Address string
	Transport   *Transport
	Log         *slog.Logger

	addresses map[string]string // by VM
}

// Run announces the relay and follows the peers until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	go d.announce(ctx)
	d.addresses = map[string]string{}
	var outage process.Outage
	f := store.Follower{
		Log: d.Store, Topic: d.Topic, Wait: readWait, Pause: readPause,
		Listed: func(records []store.KeyedRecord, _ int64) {
			clear(d.addresses)
			d.apply(records)
		},
		Appended: func(records []store.KeyedRecord) {
			outage.Recovered(d.Log, "peers_read")
			d.apply(records)
		},
		Truncated: func(from int64, err *store.TruncatedError) {
			d.Log.Warn("topic_truncated", "topic", d.Topic, "from", from, "first", err.First)
		},
		Failed: func(err error) { outage.Failed(d.Log, "peers_read", err) },
	}
	f.Run(ctx)
}

// apply updates the peers. Run's goroutine calls it.
func (d *Directory) apply(records []store.KeyedRecord) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(d.addresses, r.Key)
		} else {
			d.addresses[r.Key] = string(r.Value)
		}
	}
	peers := maps.Clone(d.addresses)
	delete(peers, d.VM)
	d.Transport.SetPeers(slices.Sorted(maps.Values(peers)))
}

func (d *Directory) announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.Store.AppendKeyed(ctx, d.Topic, []store.KeyedRecord{{Key: d.VM, Value: []byte(d.Address)}})
		if err == nil {
			return
		}
		d.Log.Warn("peer_unannounced", "err", err)
		process.Sleep(ctx, announceRetryDelay)
	}
}

// Withdraw removes the announcement at a planned stop.
func (d *Directory) Withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := d.Store.AppendKeyed(ctx, d.Topic, []store.KeyedRecord{{Key: d.VM}}); err != nil {
		d.Log.Warn("peer_unannounced", "err", err)
	}
}
