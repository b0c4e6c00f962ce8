package origins

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/wire"
)

func targetsOf(versions ...string) []*fleet.Instance {
	var out []*fleet.Instance
	for i, v := range versions {
		out = append(out, &fleet.Instance{Target: config.Target{Name: fmt.Sprint(i)}, Pool: "p", SoftwareVersion: v})
	}
	return out
}

// network connects the registers of VMs in two zones; those that are down don't answer.
type network struct {
	store     *memoryStore
	mu        sync.Mutex
	registers map[string]*Register // by address
	down      map[string]bool
}

func newNetwork() *network {
	return &network{store: &memoryStore{}, registers: map[string]*Register{}, down: map[string]bool{}}
}

// add adds the register of a VM, which sees the snapshot and does not follow the store.
func (n *network) add(t *testing.T, vm fleet.VM, vms []fleet.VM, snap *fleet.Snapshot) *Register {
	t.Helper()
	r := New(Options{
		Self: vm, View: fleet.NewView(), Store: n.store, SoftwareTopic: "software", BootTime: process.BootTime, Call: n.call,
		Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics(),
	})
	r.SetVMs(vms)
	r.update(time.Now(), snap)
	n.registers[vm.RPCAddress] = r
	return r
}

// streamTables returns tables with a pool p and a route for resumable streams.
func streamTables() *fleet.Tables {
	return &fleet.Tables{
		Pools:  []fleet.Pool{{Pool: config.Pool{Name: "p"}}},
		Routes: []fleet.Route{{Route: config.Route{Pool: "p", TimeoutMs: 8000}, Streaming: true, Resumable: true}},
	}
}

// setDown makes the VMs at addresses answer no more calls.
func (n *network) setDown(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.down[a] = true
	}
}

// awaitRecorded waits until the holders of streams that began at a VM know them.
func (n *network) awaitRecorded(t *testing.T, at *Register, ids ...string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for _, id := range ids {
		at.mu.Lock()
		holders := at.holders(id)
		at.mu.Unlock()
		for _, vm := range holders {
			for known := false; !known; time.Sleep(time.Millisecond) {
				r := n.registers[vm.RPCAddress]
				r.mu.Lock()
				_, known = r.table.find(time.Now(), id)
				r.mu.Unlock()
				if time.Now().After(deadline) {
					t.Fatalf("%s does not know the origin of %s", vm.Name, id)
				}
			}
		}
	}
}

func (n *network) call(ctx context.Context, address, method string, params, result any) error {
	n.mu.Lock()
	r, down := n.registers[address], n.down[address]
	n.mu.Unlock()
	if r == nil || down {
		return errors.New("no answer")
	}
	switch p := params.(type) {
	case wire.RecordOriginsParams:
		_, err := r.HandleRecord(ctx, p)
		return err
	case wire.FindOriginParams:
		res, err := r.HandleFind(ctx, p)
		*result.(*wire.FindOriginResult) = res
		return err
	}
	return errors.New("unknown method " + method)
}

// TestOriginsSurviveTheLossOfVMs begins streams at a VM of a pool with two versions and takes them up at VMs of both zones after a third of the
// VMs, and the one at which they began, are lost.
func TestOriginsSurviveTheLossOfVMs(t *testing.T) {
	const vmCount, streams = 12, 300
	is := is.New(t)
	n := newNetwork()
	var vms []fleet.VM
	for i := range vmCount {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("vm-%d", i), AvailabilityZone: string(rune('a' + i%2)), RPCAddress: fmt.Sprint(i)})
	}
	snap := &fleet.Snapshot{Tables: streamTables(), Instances: targetsOf("v1", "v2", "v2")}
	for _, vm := range vms {
		n.add(t, vm, vms, snap)
	}
	first := n.registers["0"]
	var ids []string
	for i := range streams {
		ids = append(ids, fmt.Sprint("s", i))
		first.Begin(ids[i], snap.Instances[i%3])
	}
	n.awaitRecorded(t, first, ids...)
	n.setDown("0", "3", "6", "9")
	n.store.setDown(true)
	route := &fleet.Route{Route: config.Route{Pool: "p"}}
	known := 0
	for i := range streams {
		for _, at := range []string{"2", "5"} { // one in each zone
			if o, ok := n.registers[at].Find(t.Context(), route, fmt.Sprint("s", i)); ok {
				is.Equal(o.Software, snap.Instances[i%3].SoftwareVersion)
				known++
			}
		}
	}
	is.True(known > 2*streams*8/10)
	_, ok := n.registers["2"].Find(t.Context(), route, "nobody")
	is.True(!ok) // never guessed
}

// TestOriginsAreHandedOverWhenAPoolGetsASecondVersion covers streams that began while the pool had one version only.
func TestOriginsAreHandedOverWhenAPoolGetsASecondVersion(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	vms := []fleet.VM{{Name: "a", AvailabilityZone: "a", RPCAddress: "0"}, {Name: "b", AvailabilityZone: "a", RPCAddress: "1"}}
	for _, vm := range vms {
		n.add(t, vm, vms, &fleet.Snapshot{Tables: streamTables(), Instances: targetsOf("v1", "v1")})
	}
	n.registers["0"].Begin("s", targetsOf("v1")[0])
	for _, r := range n.registers {
		r.update(time.Now(), &fleet.Snapshot{Tables: streamTables(), Instances: targetsOf("v1", "v2")})
	}
	n.awaitRecorded(t, n.registers["0"], "s")
	n.setDown("0")
	n.store.setDown(true)
	o, ok := n.registers["1"].Find(t.Context(), &fleet.Route{Route: config.Route{Pool: "p"}}, "s")
	is.True(ok)
	is.Equal(o.Software, "v1")
}

// TestRecordThatCannotBeReadIsNotReliedOn covers a pool of one version: streams are told other VMs once the store does not answer any more, and
// a stream that no VM knows is not guessed to be of the one version.
func TestRecordThatCannotBeReadIsNotReliedOn(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	vms := fleetOf(2)
	snap := snapshotOf("v1", "v1")
	for _, vm := range vms {
		r := n.add(t, vm, vms, snap)
		r.apply(time.Now(), []store.KeyedRecord{encodeVersion("p", versionRecord{Version: "v1", Announced: true})}, 1)
		r.recordRead(process.BootTime())
	}
	first, second, route := n.registers["0"], n.registers["1"], &streamTables().Routes[0]
	first.Begin("s", snap.Instances[0])
	o, ok := second.Find(t.Context(), route, "s")
	is.True(ok) // all streams are of that version
	is.Equal(o.Software, "v1")
	n.store.setDown(true)
	for _, r := range n.registers {
		r.recordRead(process.BootTime() - freshness - time.Second)
	}
	n.awaitRecorded(t, first, "s")
	n.setDown("0")
	o, ok = second.Find(t.Context(), route, "s")
	is.True(ok)
	is.Equal(o.Software, "v1")
	_, ok = second.Find(t.Context(), route, "unknown")
	is.True(!ok)
}
