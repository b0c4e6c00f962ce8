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

// serveSteward serves the steward's watches on l until stop is called.
func serveSteward(t *testing.T, s *fakeSteward, l net.Listener) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	srv := rpc.NewServer(rpc.Options{Token: peerToken}, map[string]rpc.Handler{wire.MethodWatch: rpc.NewHandler(s.watch)})
	wg.Go(func() { _ = srv.Serve(ctx, l) })
	stop = func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	return stop
}

// TestGateWatchesPeerStewardWhileItsOwnIsUnreachable checks that a gate whose steward is dead or frozen gets the
// configuration and draining targets from a peer's steward, never reverts to an older configuration, and
// returns to its own steward once it answers.
func TestGateWatchesPeerStewardWhileItsOwnIsUnreachable(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		is := is.New(t)
		f := newFleet(t, fleetOptions{engines: 1})
		tables := f.steward.state.Tables
		own := &fakeSteward{changed: make(chan struct{})}
		peer := &fakeSteward{changed: make(chan struct{})}
		ownL, peerL, deadL := newListener(t), newListener(t), newListener(t)
		deadL.Close()
		stopOwn := serveSteward(t, own, ownL)
		serveSteward(t, peer, peerL)
		peers := []wire.Node{{ID: "dead", StewardAddress: deadL.Addr().String()}, {ID: "p", StewardAddress: peerL.Addr().String()}}
		withRevision := func(r trial.Offset) func(*wire.State) {
			return func(st *wire.State) { st.Ready, st.Revision, st.Tables, st.Peers = true, r, tables, peers }
		}
		peer.set(withRevision(3)) // older than the VM's own steward
		own.set(withRevision(5))
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
		peer.set(func(st *wire.State) { st.Revision = 4; st.Tables = &config.Tables{} }) // as after a restore from an old state
		peer.set(withRevision(7))
		f.await("revision 7", func() bool { return revision() == 7 })
		if frozen {
			own.unfreeze()
		} else {
			l, err := net.Listen("tcp", ownL.Addr().String())
			is.NoErr(err)
			serveSteward(t, own, l)
		}
		own.set(withRevision(8))
		f.await("revision 8 of its own", func() bool { return revision() == 8 })
		n.stop()
		<-n.done
	}
}
