package origins

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/store"
)

const testStreamTime = 16 * time.Second

// recordVM is a VM's knowledge of pool p and of the record in a store, driven with a simulated clock.
type recordVM struct {
	t     *testing.T
	store *memoryStore
	*poolSoftware
	next int64
}

// startRecordVM starts a VM with an empty memory, which lists the record.
func startRecordVM(t *testing.T, s *memoryStore, now time.Time, versions ...string) *recordVM {
	t.Helper()
	v := &recordVM{t: t, store: s, poolSoftware: newPoolSoftware()}
	v.streamTime = testStreamTime
	v.observe(now, targetsOf(versions...))
	records, next, err := s.ReadNewest(t.Context(), "software")
	if err != nil {
		t.Fatal(err)
	}
	v.next = next
	v.applyAll(now, records)
	return v
}

func (v *recordVM) applyAll(now time.Time, records []store.KeyedRecord) {
	for _, rec := range records {
		if pool, err := poolOfKey(rec.Key); err == nil && pool == "p" {
			_ = v.apply(now, rec) // what can't be decoded stands for an unknown version
		}
	}
}

// read applies the records that were appended since the last read.
func (v *recordVM) read(now time.Time) {
	records, next, err := v.store.ReadKeyed(context.Background(), "software", v.next, 0)
	if err != nil {
		v.t.Fatal(err)
	}
	v.next = next
	v.applyAll(now, records)
}

// appendDue appends what is due, and reports whether a removal met a conflict.
func (v *recordVM) appendDue(now time.Time) (conflict bool) {
	first := v.firstRecords("p", false)
	additions, removal := v.due(now, "p")
	switch {
	case len(first) > 0:
		var c *store.ConflictError
		return errors.As(v.store.AppendKeyedAt(context.Background(), "software", v.next, first), &c)
	case len(additions) > 0:
		if err := v.store.AppendKeyed(context.Background(), "software", additions); err != nil {
			v.t.Fatal(err)
		}
		if err := v.added(now, additions, v.next); err != nil {
			v.t.Fatal(err)
		}
	case removal != nil:
		var c *store.ConflictError
		return errors.As(v.store.AppendKeyedAt(context.Background(), "software", v.next, []store.KeyedRecord{*removal}), &c)
	}
	return false
}

// run lets the VM see versions of targets for d, with a read and an append each second.
func (v *recordVM) run(now time.Time, d time.Duration, versions ...string) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
		v.observe(now, targetsOf(versions...))
		v.read(now)
		v.appendDue(now)
	}
	v.read(now)
	return now
}

// TestPoolIsUniformOnceNoStreamOfAnotherVersionIsLeft guards against taking a version that nobody remembers for one that never was: a VM
// with an empty memory looks at the record after each history.
func TestPoolIsUniformOnceNoStreamOfAnotherVersionIsLeft(t *testing.T) {
	type phase struct {
		d        time.Duration
		versions []string
	}
	v1, v2, both := []string{"v1"}, []string{"v2"}, []string{"v1", "v2"}
	long := 2*testStreamTime + 5*time.Second
	for _, tc := range []struct {
		name    string
		history []phase
		now     []string // what is registered as the VM starts
		want    bool
	}{
		{"no record yet", nil, v1, false},
		{"first seconds of the first record", []phase{{2 * time.Second, v1}}, v1, false},
		{"one version for long", []phase{{long, v1}}, v1, true},
		{"two versions", []phase{{long, both}}, both, false},
		{"the newer version has just left", []phase{{long, v1}, {5 * time.Second, both}}, v1, false},
		{"the older version has just left", []phase{{long, v1}, {5 * time.Second, both}}, v2, false},
		{"a release while no VM ran", []phase{{long, v1}}, v2, false},
		{"the older version left less than a stream's time ago", []phase{{long, both}, {testStreamTime - 2*time.Second, v2}}, v2, false},
		{"the older version left longer ago", []phase{{long, both}, {testStreamTime + announceDelay + absenceDelay + 4*time.Second, v2}}, v2, true},
		{"no targets for long", []phase{{long, v1}, {long, nil}}, v1, true},
		{"the older version is back", []phase{{long, v1}, {long, v2}, {2 * time.Second, both}}, v2, false},
		{"no target is registered", []phase{{long, v1}}, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := &memoryStore{}
			if len(tc.history) > 0 {
				v := startRecordVM(t, s, now, tc.history[0].versions...)
				for _, ph := range tc.history {
					now = v.run(now, ph.d, ph.versions...)
				}
			}
			is.Equal(startRecordVM(t, s, now, tc.now...).uniform("p"), tc.want)
		})
	}
}

// TestVersionThatIsBackIsNotRemoved covers a VM that has not seen the targets return and removes their version, while another one has
// let streams begin there.
func TestVersionThatIsBackIsNotRemoved(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := &memoryStore{}
	lagging := startRecordVM(t, s, now, "v1", "v2")
	now = lagging.run(now, time.Minute, "v1", "v2")
	other := startRecordVM(t, s, now, "v1", "v2")
	now = lagging.run(now, testStreamTime+announceDelay+absenceDelay, "v2")
	other.observe(now, targetsOf("v1", "v2")) // back
	other.read(now)
	is.True(other.mayBegin(now, true, "p", "v2"))
	is.True(!other.mayBegin(now, true, "p", "v1")) // it may be removed any moment
	other.appendDue(now)
	now = now.Add(5 * time.Second)
	is.True(lagging.appendDue(now)) // the removal meets a conflict
	lagging.read(now)
	other.read(now)
	is.True(other.mayBegin(now, true, "p", "v1"))
	is.True(!startRecordVM(t, s, now, "v2").uniform("p"))
	// If the removal comes first, the VM that sees the targets records the version again.
	is.NoErr(s.AppendKeyed(t.Context(), "software", []store.KeyedRecord{{Key: versionKey("p", "v1")}}))
	other.read(now)
	is.True(!other.mayBegin(now, true, "p", "v1"))
	other.appendDue(now)
	is.True(!startRecordVM(t, s, now, "v2").uniform("p"))
}

// TestStreamsBeginAtVersionsThatAllVMsKnow guards against a stream at a new version that a VM with an older view takes for one of the old.
func TestStreamsBeginAtVersionsThatAllVMsKnow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := &memoryStore{}
	v := startRecordVM(t, s, now, "v1")
	is.True(v.mayBegin(now, true, "p", "v1")) // the only version
	now = v.run(now, time.Minute, "v1")
	v.observe(now, targetsOf("v1", "v2"))
	is.True(v.mayBegin(now, true, "p", "v1"))
	is.True(!v.mayBegin(now, true, "p", "v2")) // not recorded
	v.appendDue(now)
	is.True(!v.mayBegin(now, true, "p", "v2")) // other VMs may not have read it
	started := startRecordVM(t, s, now, "v1", "v2")
	is.True(!started.mayBegin(now, true, "p", "v2"))
	is.True(started.mayBegin(now, true, "p", "v1"))
	now = v.run(now, announceDelay+2*time.Second, "v1", "v2")
	is.True(v.mayBegin(now, true, "p", "v2"))
	is.True(startRecordVM(t, s, now, "v1", "v2").mayBegin(now, true, "p", "v2")) // a VM that starts trusts the announcement
	leaving := targetsOf("v1", "v2", "v3")
	leaving[0].Draining, leaving[1].Draining = true, true
	v.observe(now, leaving)
	is.True(v.mayBegin(now, true, "p", "v3")) // there is no other that takes requests
}

// TestUnreadableRecordsMakeAPoolMixed covers records of other builds, and garbage.
func TestUnreadableRecordsMakeAPoolMixed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := &memoryStore{}
	v := startRecordVM(t, s, now, "v1")
	now = v.run(now, time.Minute, "v1")
	is.True(v.uniform("p"))
	is.NoErr(s.AppendKeyed(t.Context(), "software", []store.KeyedRecord{{Key: "no pool", Value: []byte("{}")}, {Key: "|x", Value: nil}}))
	v.read(now)
	is.True(v.uniform("p"))
	is.NoErr(s.AppendKeyed(t.Context(), "software", []store.KeyedRecord{{Key: "p|77", Value: []byte{0xff, 0}}}))
	now = v.run(now, time.Minute, "v1")
	is.True(!v.uniform("p")) // a build that can read it removes it
	is.NoErr(s.AppendKeyed(t.Context(), "software", []store.KeyedRecord{{Key: "p|77"}, {Key: versionKey("p", "v1"), Value: []byte("{")}}))
	v.read(now)
	is.True(!v.uniform("p")) // until the version is recorded again
	is.NoErr(s.AppendKeyed(t.Context(), "software", []store.KeyedRecord{{Key: "p|77", Value: []byte{0xff}}}))
	is.True(!startRecordVM(t, s, now, "v1").uniform("p"))
}

func fleetOf(n int) []fleet.VM {
	var vms []fleet.VM
	for i := range n {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("vm-%d", i), AvailabilityZone: "a", RPCAddress: fmt.Sprint(i)})
	}
	return vms
}

func snapshotOf(versions ...string) *fleet.Snapshot {
	return &fleet.Snapshot{Tables: streamTables(), Instances: targetsOf(versions...)}
}

// TestOriginsOutliveAllVMs takes streams up at VMs that were started after all others were lost, and covers unreadable records among them.
func TestOriginsOutliveAllVMs(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	vms := fleetOf(3)
	snap := snapshotOf("v1", "v2")
	for _, vm := range vms {
		n.add(t, vm, vms, snap)
	}
	is.NoErr(func() error {
		_, err := n.store.Append(t.Context(), originPartition(), [][]byte{{0xff}, []byte("[1]")})
		return err
	}())
	for i, r := range []*Register{n.registers["0"], n.registers["1"], n.registers["2"]} {
		r.Begin(string(rune('a'+i)), snap.Instances[i%2])
	}
	deadline := time.Now().Add(5 * time.Second)
	for saved := 0; saved < 3; time.Sleep(time.Millisecond) {
		saved = 0
		for _, r := range n.registers {
			r.mu.Lock()
			if !r.saved.saving {
				saved++
			}
			r.mu.Unlock()
		}
		is.True(time.Now().Before(deadline))
	}
	for _, vm := range vms {
		n.add(t, vm, vms, snap) // with an empty memory
	}
	route := &streamTables().Routes[0]
	for i := range 3 {
		o, ok := n.registers["2"].Find(t.Context(), route, string(rune('a'+i)))
		is.True(ok)
		is.Equal(o.Software, snap.Instances[i%2].SoftwareVersion)
	}
	_, ok := n.registers["1"].Find(t.Context(), route, "nobody")
	is.True(!ok)
	n.store.setDown(true)
	_, ok = n.registers["0"].Find(t.Context(), route, "nobody")
	is.True(!ok) // never guessed
}
