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

func planner(id, az string, s Strategy) *Planner {
	return NewPlanner(PlannerOptions{Self: node(id, az), Strategy: s, Seed: 1})
}

func TestLowestNodeReadsTheLogAndTheOthersItsRelay(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("a2", "a"), node("b0", "b")}
	is.Equal(planner("a1", "a", "").Plan(start, live).Kind, SourceLog)
	src := planner("a2", "a", "").Plan(start, live)
	is.Equal(src.Kind, SourceRelay)
	is.Equal(src.Node.ID, "a1")
}

func TestNodeServesFewOthers(t *testing.T) {
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
			t.Errorf("%s serves %d", id, n)
		}
	}
	is.Equal(depth["a26"], 3)
	is.Equal(depth["a00"], 0)
}

func TestDeadRelayIsReplaced(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("a2", "a"), node("a3", "a")}
	p := planner("a3", "a", "")
	src := p.Plan(start, live)
	p.Report(start, src, Outcome{Err: errDown})
	is.Equal(p.Plan(start, live).Kind, SourceLog)                          // reads itself at once
	is.Equal(p.Plan(start.Add(AvoidFor), live).Node.ID, "a1")              // and tries again
	is.Equal(p.Plan(start.Add(AvoidFor), live[1:]).Node.ID, "a2")          // the next one once it is known dead
	is.Equal(planner("a2", "a", "").Plan(start, live[1:]).Kind, SourceLog) // which reads the log
}

func TestRelayThatFallsBehindIsPassedBy(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("a2", "a")}
	p := planner("a2", "a", "")
	p.Report(start, p.Plan(start, live), Outcome{Age: MaxAge + time.Second})
	is.Equal(p.Plan(start, live).Kind, SourceLog)
}

func TestLogOutFetchesFromPeersByStrategy(t *testing.T) {
	live := []wire.Node{node("a1", "a"), node("a2", "a"), node("b1", "b"), node("c1", "c")}
	for strategy, other := range map[Strategy]bool{OtherZoneFirst: true, SameZoneFirst: false} {
		is := is.New(t)
		p := planner("a1", "a", strategy)
		p.Report(start, p.Plan(start, live), Outcome{Err: errDown})
		src := p.Plan(start, live)
		is.Equal(src.Kind, SourcePeer)
		is.Equal(src.Node.AvailabilityZone != "a", other)
		p.Report(start, src, Outcome{})
		is.Equal(p.Plan(start, live).Node.ID, src.Node.ID)          // keeps to one that serves
		is.Equal(p.Plan(start.Add(AvoidFor), live).Kind, SourceLog) // and tries the log again
	}
}

func TestPeerThatFailsIsLeft(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("b1", "b"), node("c1", "c")}
	p := planner("a1", "a", "")
	p.Report(start, Source{Kind: SourceLog}, Outcome{Err: errDown})
	first := p.Plan(start, live)
	p.Report(start, first, Outcome{Err: errDown})
	second := p.Plan(start, live)
	is.True(second.Kind == SourcePeer && second.Node.ID != first.Node.ID)
	p.Report(start, second, Outcome{Err: errDown})
	is.Equal(p.Plan(start, live).Kind, SourceLog) // nobody is left to ask
}

func TestRelayWithoutTheLogIsPassedByWhereTheLogCanBeReached(t *testing.T) {
	is := is.New(t)
	live := []wire.Node{node("a1", "a"), node("a2", "a"), node("b1", "b")}
	p := planner("a2", "a", "")
	relay := p.Plan(start, live)
	p.Report(start, relay, Outcome{Lateral: true})
	src := p.Plan(start, live)
	is.Equal(src.Kind, SourceLog)
	p.Report(start, src, Outcome{})
	is.Equal(p.Plan(start.Add(DetourFor/2), live).Kind, SourceLog) // stays with it
	is.Equal(p.Plan(start.Add(DetourFor), live).Kind, SourceRelay) // and looks at the relay again
	p.Report(start.Add(DetourFor), relay, Outcome{Lateral: true})
	p.Report(start.Add(DetourFor), Source{Kind: SourceLog}, Outcome{Err: errDown})
	is.Equal(p.Plan(start.Add(DetourFor), live).Kind, SourceRelay) // cut like its relay
	p.Report(start.Add(DetourFor), relay, Outcome{Lateral: true})
	is.Equal(p.Plan(start.Add(DetourFor), live).Kind, SourceRelay) // the log failed just now
}

func TestBufferServesWithoutGaps(t *testing.T) {
	is := is.New(t)
	var b buffer
	for i := range trial.Offset(5) {
		b.add(trial.Record{Offset: 10 + i})
	}
	b.add(trial.Record{Offset: 12}) // read again after a snapshot
	got, ok := b.from(12, 2)
	is.True(ok && len(got) == 2 && got[0].Offset == 12)
	_, ok = b.from(9, 2)
	is.True(!ok)
	got, ok = b.from(15, 2)
	is.True(ok && len(got) == 0)
	b.add(trial.Record{Offset: 20})
	_, ok = b.from(14, 2)
	is.True(!ok) // what came before the gap is gone
}

func TestBufferIsBounded(t *testing.T) {
	is := is.New(t)
	var b buffer
	for i := range trial.Offset(MaxBufferedRecords + 100) {
		b.add(trial.Record{Offset: i + 1, Data: make([]byte, 4096)})
	}
	is.True(len(b.records) <= MaxBufferedRecords && b.bytes <= MaxBufferedBytes)
}

func TestCarryComesBeforeHalfOfRetention(t *testing.T) {
	is := is.New(t)
	const retention = 100 * time.Second
	for seed := range uint64(50) {
		c := NewCarry(seed)
		is.True(!c.Due(start, 0)) // kept for ever
		c.Seen(start, retention)
		is.True(!c.Due(start.Add(retention/5), retention))
		is.True(c.Due(start.Add(retention/2), retention))
		is.True(!c.Due(start.Add(retention/2), retention))             // not twice at once
		is.True(c.Due(start.Add(retention/2+retention/20), retention)) // again if it was not read back
	}
}
