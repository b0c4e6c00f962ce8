package logtail

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

var (
	start   = time.Unix(1000, 0)
	errDown = errors.New("down")
)

func node(id, az string) wire.Node { return wire.Node{ID: id, AvailabilityZone: az} }

func newTestPlanner(id, az string, s Strategy) *Planner {
	return NewPlanner(PlannerOptions{Self: node(id, az), Strategy: s, Seed: 1})
}

func TestNodeWithLowestIDReadsLogAndOthersReadFromIt(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("a2", "a"), node("b0", "b")}
	is.Equal(newTestPlanner("a1", "a", "").Plan(start, live).Kind, SourceLog)
	src := newTestPlanner("a2", "a", "").Plan(start, live)
	is.Equal(src.Kind, SourceRelay)
	is.Equal(src.Node.ID, "a1")
}

func TestRelayServesAtMostRelayFanoutNodes(t *testing.T) {
	is := is.New(t)
	var zone []wire.Node
	for i := range 27 {
		zone = append(zone, node(fmt.Sprintf("a%02d", i), "a"))
	}
	children, depth := map[string]int{}, map[string]int{}
	for _, n := range zone {
		if parent, ok := Parent(zone, n); ok {
			children[parent.ID]++
			depth[n.ID] = depth[parent.ID] + 1
		}
	}
	for id, n := range children {
		if n > RelayFanout {
			t.Errorf("relay %s has %d children, want at most RelayFanout", id, n)
		}
	}
	is.Equal(depth["a26"], 3)
	is.Equal(depth["a00"], 0)
}

func TestDeadRelayIsReplacedByLogAndNextNode(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("a2", "a"), node("a3", "a")}
	p := newTestPlanner("a3", "a", "")
	src := p.Plan(start, live)
	p.Report(start, src, Outcome{Err: errDown})
	is.Equal(p.Plan(start, live).Kind, SourceLog)                                 // reads the log at once
	is.Equal(p.Plan(start.Add(AvoidDuration), live).Node.ID, "a1")                // retries the relay later
	is.Equal(p.Plan(start.Add(AvoidDuration), live[1:]).Node.ID, "a2")            // uses the next node once the relay is known to be dead
	is.Equal(newTestPlanner("a2", "a", "").Plan(start, live[1:]).Kind, SourceLog) // that node reads the log
}

func TestLaggingRelayIsAvoided(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("a2", "a")}
	p := newTestPlanner("a2", "a", "")
	p.Report(start, p.Plan(start, live), Outcome{Lag: MaxSourceLag + time.Second})
	is.Equal(p.Plan(start, live).Kind, SourceLog)
}

func TestPeerIsChosenByStrategyDuringLogOutage(t *testing.T) {
	live := []wire.Node{node("a1", "a"), node("a2", "a"), node("b1", "b"), node("c1", "c")}
	for strategy, other := range map[Strategy]bool{OtherZoneFirst: true, SameZoneFirst: false} {
		is := is.New(t)
		p := newTestPlanner("a1", "a", strategy)
		p.Report(start, p.Plan(start, live), Outcome{Err: errDown})
		src := p.Plan(start, live)
		is.Equal(src.Kind, SourcePeer)
		is.Equal(src.Node.AvailabilityZone != "a", other)
		p.Report(start, src, Outcome{})
		is.Equal(p.Plan(start, live).Node.ID, src.Node.ID)               // stays with a peer that answers
		is.Equal(p.Plan(start.Add(AvoidDuration), live).Kind, SourceLog) // retries the log later
	}
}

func TestFailedPeerIsAvoided(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("b1", "b"), node("c1", "c")}
	p := newTestPlanner("a1", "a", "")
	p.Report(start, Source{Kind: SourceLog}, Outcome{Err: errDown})
	first := p.Plan(start, live)
	p.Report(start, first, Outcome{Err: errDown})
	second := p.Plan(start, live)
	is.True(second.Kind == SourcePeer && second.Node.ID != first.Node.ID)
	p.Report(start, second, Outcome{Err: errDown})
	is.Equal(p.Plan(start, live).Kind, SourceLog) // no peer is usable
}

func TestRelayCutOffFromLogIsBypassedWhileLogIsReachable(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("a2", "a"), node("b1", "b")}
	p := newTestPlanner("a2", "a", "")
	relay := p.Plan(start, live)
	p.Report(start, relay, Outcome{FromPeer: true})
	src := p.Plan(start, live)
	is.Equal(src.Kind, SourceLog)
	p.Report(start, src, Outcome{})
	is.Equal(p.Plan(start.Add(RelayBypassDuration/2), live).Kind, SourceLog) // stays with the log
	is.Equal(p.Plan(start.Add(RelayBypassDuration), live).Kind, SourceRelay) // retries the relay later
	p.Report(start.Add(RelayBypassDuration), relay, Outcome{FromPeer: true})
	p.Report(start.Add(RelayBypassDuration), Source{Kind: SourceLog}, Outcome{Err: errDown})
	is.Equal(p.Plan(start.Add(RelayBypassDuration), live).Kind, SourceRelay) // this node cannot reach the log either
	p.Report(start.Add(RelayBypassDuration), relay, Outcome{FromPeer: true})
	is.Equal(p.Plan(start.Add(RelayBypassDuration), live).Kind, SourceRelay) // the log failed recently, so it is avoided
}

func TestBufferReturnsContiguousRecords(t *testing.T) {
	is := is.New(t)
	var b buffer
	for i := range trial.Offset(5) {
		b.add(trial.Record{Offset: 10 + i})
	}
	b.add(trial.Record{Offset: 12}) // read again after a snapshot
	got, ok := b.readFrom(12, 2)
	is.True(ok && len(got) == 2 && got[0].Offset == 12)
	_, ok = b.readFrom(9, 2)
	is.True(!ok)
	got, ok = b.readFrom(15, 2)
	is.True(ok && len(got) == 0)
	b.add(trial.Record{Offset: 20})
	_, ok = b.readFrom(14, 2)
	is.True(!ok) // records before the gap were discarded
}

func TestBufferIsBounded(t *testing.T) {
	is := is.New(t)
	var b buffer
	for i := range trial.Offset(MaxBufferedRecords + 100) {
		b.add(trial.Record{Offset: i + 1, Data: make([]byte, 4096)})
	}
	is.True(len(b.records) <= MaxBufferedRecords && b.bytes <= MaxBufferedBytes)
}

func TestSnapshotIsDueBeforeHalfOfRetention(t *testing.T) {
	is := is.New(t)
	const retention = 100 * time.Second
	for seed := range uint64(50) {
		s := NewSnapshotSchedule(seed)
		is.True(!s.Due(start, 0)) // records never expire
		s.RecordSnapshot(start, retention)
		is.True(!s.Due(start.Add(retention/5), retention))
		is.True(s.Due(start.Add(retention/2), retention))
		is.True(!s.Due(start.Add(retention/2), retention))             // not due again immediately
		is.True(s.Due(start.Add(retention/2+retention/20), retention)) // due for a retry if it was not read back
	}
}
