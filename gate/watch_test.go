package gate

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

// serveSteward answers watches at l until the returned function is called.
func serveSteward(t *testing.T, s *steward, l net.Listener) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	srv := rpc.NewServer(rpc.Options{Token: peerToken}, map[string]rpc.Handler{wire.MethodWatch: rpc.Handle(s.watch)})
	wg.Go(func() { _ = srv.Serve(ctx, l) })
	stop = func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	return stop
}

// TestGateFollowsAPeersStewardWhileItsOwnIsAway: a gate whose steward is dead or frozen still gets
// the configuration and leaving targets, never an older configuration, and returns to its own.
func TestGateFollowsAPeersStewardWhileItsOwnIsAway(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		is := is.New(t)
		f := newFleet(t, fleetOptions{engines: 1})
		tables := f.steward.state.Tables
		own := &steward{changed: make(chan struct{})}
		peer := &steward{changed: make(chan struct{})}
		ownL, peerL, deadL := listener(t), listener(t), listener(t)
		deadL.Close()
		stopOwn := serveSteward(t, own, ownL)
		serveSteward(t, peer, peerL)
		peers := []wire.Node{{ID: "dead", StewardAddress: deadL.Addr().String()}, {ID: "p", StewardAddress: peerL.Addr().String()}}
		at := func(r trial.Offset) func(*wire.State) {
			return func(st *wire.State) { st.Ready, st.Revision, st.Tables, st.Peers = true, r, tables, peers }
		}
		peer.set(at(3)) // behind
		own.set(at(5))
		n := f.startGate(0, ownL.Addr().String(), fleetOptions{})
		revision := func() trial.Offset {
			_, r := n.gate.state.Tables()
			return r
		}
		f.await("revision 5", func() bool { return revision() == 5 })
		if frozen {
			own.freeze()
		} else {
			stopOwn()
		}
		target := tables.Pools[0].Targets[0].Address
		peer.set(func(st *wire.State) {
			st.Revision, st.Draining = 6, map[string]string{target: "list of VMs says leaving"}
		})
		f.await("revision 6 of the peer", func() bool { return revision() == 6 })
		is.Equal(n.gate.state.state.Draining[target], "list of VMs says leaving")
		peer.set(func(st *wire.State) { st.Revision = 4; st.Tables = &config.Tables{} }) // restored from an old state
		peer.set(at(7))
		f.await("revision 7", func() bool { return revision() == 7 })
		if frozen {
			own.thaw()
		} else {
			l, err := net.Listen("tcp", ownL.Addr().String())
			is.NoErr(err)
			serveSteward(t, own, l)
		}
		own.set(at(8))
		f.await("revision 8 of its own", func() bool { return revision() == 8 })
		n.stop()
		<-n.done
	}
}
