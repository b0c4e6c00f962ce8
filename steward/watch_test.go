package steward

import (
	"testing"

	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

// TestWatchOfAnotherVMsGateDoesNotReplaceLocalGate checks that a steward serves the state to the gate of another VM,
// whose own steward is unreachable, without taking it for the gate of its own VM.
func TestWatchOfAnotherVMsGateDoesNotReplaceLocalGate(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, logservice.Options{})
	a, b := c.start("a1", "a"), c.start("b1", "b")
	c.waitConverged()
	c.mustApply(a, servicePool("c1", "pantry"))
	_, err := b.watch(t.Context(), wire.WatchParams{GateID: "b1", GateIncarnation: "gate-b"})
	is.NoErr(err)
	c.eventually("the pool in the state of b", func() bool { return c.hasPool(b, "pantry") })
	st, err := b.watch(t.Context(), wire.WatchParams{GateID: "a1", GateIncarnation: "gate-a", Revision: -1})
	is.NoErr(err)
	is.True(st.Ready)
	is.True(st.Tables.Pool("pantry") != nil)
	gate, live := b.gateTracker.last()
	is.True(live)
	is.Equal(gate.GateIncarnation, "gate-b")
	ids := map[string]bool{}
	for _, p := range st.Peers {
		ids[p.ID] = true
	}
	is.True(ids["b1"])
	is.True(!ids["a1"])
}
