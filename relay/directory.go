package relay

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
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
	// VM and AvailabilityZone are those of this VM, Address is the address of its relay.
	VM, AvailabilityZone, Address string
	// RPCAddress is where this VM serves the calls of other VMs; "" if it serves none.
	RPCAddress string
	// Small is set if this VM has little processing power, so that others prefer larger ones.
	Small     bool
	Transport *Transport
	Log       *slog.Logger
	// OnChange is called with the announced VMs after each change; it may be nil.
	OnChange func([]fleet.VM)

	announced map[string]announcement // by VM
}

// announcement is a record of the topic.
type announcement struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"az"`
	Small            bool   `json:"small,omitempty"`
	RPCAddress       string `json:"rpc,omitempty"`
}

// Run announces the relay and follows the peers until ctx ends. Then it stops the transport.
func (d *Directory) Run(ctx context.Context) {
	defer d.Transport.Stop()
	go d.announce(ctx)
	d.announced = map[string]announcement{}
	var outage process.Outage
	f := store.Follower{
		Log: d.Store, Topic: d.Topic, Wait: readWait, Pause: readPause,
		Listed: func(records []store.KeyedRecord, _ int64) {
			clear(d.announced)
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
			delete(d.announced, r.Key)
			continue
		}
		var a announcement
		if err := json.Unmarshal(r.Value, &a); err != nil || a.Address == "" {
			d.Log.Error("record_ignored", "topic", d.Topic, "key", r.Key, "err", err)
			continue
		}
		d.announced[r.Key] = a
	}
	d.Transport.SetPeers(d.peers())
	if d.OnChange != nil {
		d.OnChange(d.vms())
	}
}

// vms returns the announced VMs.
func (d *Directory) vms() []fleet.VM {
	out := make([]fleet.VM, 0, len(d.announced))
	for name, a := range d.announced {
		out = append(out, fleet.VM{Name: name, AvailabilityZone: a.AvailabilityZone, RPCAddress: a.RPCAddress, RelayAddress: a.Address, Small: a.Small})
	}
	return out
}

// peers returns the addresses of the peers to ask: those in other availability zones, since a zone is often cut off as a whole, and
// large ones among them. Others are only asked if there are none of these.
func (d *Directory) peers() []string {
	const sameZonePenalty, smallPenalty = 2, 1
	byPenalty := map[int][]string{}
	for vm, a := range d.announced {
		if vm == d.VM {
			continue
		}
		penalty := 0
		if a.AvailabilityZone == d.AvailabilityZone {
			penalty += sameZonePenalty
		}
		if a.Small {
			penalty += smallPenalty
		}
		byPenalty[penalty] = append(byPenalty[penalty], a.Address)
	}
	for penalty := range sameZonePenalty + smallPenalty + 1 {
		if len(byPenalty[penalty]) > 0 {
			return byPenalty[penalty]
		}
	}
	return nil
}

func (d *Directory) announce(ctx context.Context) {
	value, err := json.Marshal(announcement{d.Address, d.AvailabilityZone, d.Small, d.RPCAddress})
	if err != nil {
		d.Log.Error("peer_unannounced", "err", err)
		return
	}
	for ctx.Err() == nil {
		err := d.Store.AppendKeyed(ctx, d.Topic, []store.KeyedRecord{{Key: d.VM, Value: value}})
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
