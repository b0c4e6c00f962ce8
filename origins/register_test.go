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
	"github.com/ibistrail/ibistrail/wire"
)

func targetsOf(startedMs int64, versions ...string) []*fleet.Instance {
	var out []*fleet.Instance
	for i, v := range versions {
		out = append(out, &fleet.Instance{Target: config.Target{Name: fmt.Sprint(i)}, Pool: "p", SoftwareVersion: v, StartedMs: startedMs})
	}
	return out
}

func TestPoolIsUniformOnlySomeTimeAfterItsLastMix(t *testing.T) {
	const streamTime = 20 * time.Second
	now := time.Unix(1_800_000_000, 0)
	old, young := now.Add(-time.Hour).UnixMilli(), now.Add(-time.Second).UnixMilli()
	after := func(d time.Duration) time.Time { return now.Add(d) }
	for _, tc := range []struct {
		name  string
		views [][]*fleet.Instance // one each second
		want  bool                // whether the pool is uniform after the last view
		later bool                // whether it is uniform streamTime later
	}{
		{"one version for long", [][]*fleet.Instance{targetsOf(old, "v1", "v1")}, true, true},
		{"one target has restarted", [][]*fleet.Instance{append(targetsOf(young, "v1"), targetsOf(old, "v1", "v1")...)}, true, true},
		{"all targets are young", [][]*fleet.Instance{targetsOf(young, "v2", "v2")}, false, true},
		{"two versions", [][]*fleet.Instance{targetsOf(old, "v1", "v2")}, false, false},
		{"a release has just ended", [][]*fleet.Instance{targetsOf(old, "v1"), targetsOf(old, "v1", "v2"), targetsOf(old, "v2")}, false, true},
		{"a release between two views", [][]*fleet.Instance{targetsOf(old, "v1"), targetsOf(old, "v2")}, false, true},
		{"no targets for a while", [][]*fleet.Instance{targetsOf(old, "v1"), nil, targetsOf(old, "v1")}, true, true},
		{"never a target", nil, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := &poolSoftware{}
			at := now
			for i, v := range tc.views {
				at = after(time.Duration(i) * time.Second)
				p.update(at, v)
			}
			is.Equal(p.uniform(at, streamTime), tc.want)
			is.Equal(p.uniform(at.Add(streamTime), streamTime), tc.later)
		})
	}
}

// network connects the registers of VMs in two zones; those that are down don't answer.
type network struct {
	mu        sync.Mutex
	registers map[string]*Register // by address
	down      map[string]bool
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
	n := &network{registers: map[string]*Register{}, down: map[string]bool{}}
	var vms []fleet.VM
	for i := range vmCount {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("vm-%d", i), AvailabilityZone: string(rune('a' + i%2)), RPCAddress: fmt.Sprint(i)})
	}
	snap := &fleet.Snapshot{
		Tables: &fleet.Tables{Pools: []fleet.Pool{{Pool: config.Pool{Name: "p"}}}}, Instances: targetsOf(1, "v1", "v2", "v2"),
	}
	for _, vm := range vms {
		r := New(Options{Self: vm, View: fleet.NewView(), Call: n.call, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
		r.SetVMs(vms)
		r.update(time.Now(), snap)
		n.registers[vm.RPCAddress] = r
	}
	first := n.registers["0"]
	var ids []string
	for i := range streams {
		ids = append(ids, fmt.Sprint("s", i))
		first.Begin(ids[i], snap.Instances[i%3])
	}
	n.awaitRecorded(t, first, ids...)
	n.setDown("0", "3", "6", "9")
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
	n := &network{registers: map[string]*Register{}, down: map[string]bool{}}
	vms := []fleet.VM{{Name: "a", AvailabilityZone: "a", RPCAddress: "0"}, {Name: "b", AvailabilityZone: "a", RPCAddress: "1"}}
	tables := &fleet.Tables{Pools: []fleet.Pool{{Pool: config.Pool{Name: "p"}}}}
	for _, vm := range vms {
		r := New(Options{Self: vm, View: fleet.NewView(), Call: n.call, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
		r.SetVMs(vms)
		r.update(time.Now(), &fleet.Snapshot{Tables: tables, Instances: targetsOf(1, "v1", "v1")})
		n.registers[vm.RPCAddress] = r
	}
	n.registers["0"].Begin("s", targetsOf(1, "v1")[0])
	for _, r := range n.registers {
		r.update(time.Now(), &fleet.Snapshot{Tables: tables, Instances: targetsOf(1, "v1", "v2")})
	}
	n.awaitRecorded(t, n.registers["0"], "s")
	n.setDown("0")
	o, ok := n.registers["1"].Find(t.Context(), &fleet.Route{Route: config.Route{Pool: "p"}}, "s")
	is.True(ok)
	is.Equal(o.Software, "v1")
}
