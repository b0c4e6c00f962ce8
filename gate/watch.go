package gate

import (
	"context"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Timeouts of watches on stewards.
const (
	// watchWait is how long a steward waits for a new state before it answers a watch.
	watchWait = 3 * time.Second
	// watchSlack is the time beyond the wait within which an answer must arrive.
	watchSlack = 2 * time.Second
	// probeSlack replaces watchSlack in watches that probe whether the VM's steward is reachable again.
	probeSlack = time.Second
	// watchBackoff is the delay after a failed watch.
	watchBackoff = 250 * time.Millisecond
	// noRevision requests the tables of any revision.
	noRevision = trial.Offset(-1)
)

// watcher follows the state of the VM's steward. While that steward is unreachable, the gate keeps its state, and
// the watcher follows the steward of another VM. Otherwise a gate whose steward is dead or frozen would keep an
// old configuration and send requests to targets that are draining.
type watcher struct {
	g           *Gate
	since       uint64 // Seq of the last state from the VM's steward
	unreachable bool
	// peer is the address of the steward that is followed instead, peerSince the Seq of its last state.
	peer      string
	peerSince uint64
	rotation  int
}

func (g *Gate) watch(ctx context.Context) error {
	w := &watcher{g: g}
	for ctx.Err() == nil {
		w.step(ctx)
	}
	return nil
}

func (w *watcher) step(ctx context.Context) {
	wait, slack := watchWait, watchSlack
	if w.unreachable {
		wait, slack = 0, probeSlack
	}
	stopping := w.g.stop.stopping()
	s, err := w.g.watchOnce(ctx, w.g.opts.Settings.StewardAddress, w.since, wait, slack)
	if err == nil {
		w.applyOwn(s)
		return
	}
	if ctx.Err() != nil || !stopping && w.g.stop.stopping() {
		return // watchOnce ended the wait, so that the next watch reports the planned stop
	}
	if !w.unreachable {
		w.g.log.Warn("steward_away", "err", err)
	}
	w.unreachable, w.since = true, 0
	w.watchPeer(ctx)
	sleep(ctx, watchBackoff)
}

// applyOwn applies a state from the VM's steward.
func (w *watcher) applyOwn(s *wire.State) {
	if w.unreachable {
		w.g.log.Info("steward_back", "seq", s.Seq)
	}
	w.unreachable, w.since, w.peer = false, s.Seq, ""
	w.g.applyState(s)
}

// watchPeer watches the steward of a peer once. It drops that steward, so that the next call chooses another
// one, if the watch fails or the state is not ready or older than the one in force.
func (w *watcher) watchPeer(ctx context.Context) {
	if w.peer == "" {
		if w.peer = w.nextPeerSteward(); w.peer == "" {
			return
		}
		w.peerSince = 0
	}
	s, err := w.g.watchOnce(ctx, w.peer, w.peerSince, watchWait, watchSlack)
	_, revision := w.g.state.Tables()
	if err != nil || !s.Ready || s.Revision < revision {
		w.peer = ""
		return
	}
	if w.peerSince == 0 {
		w.g.log.Info("peer_steward_followed", "steward", w.peer)
	}
	w.peerSince = s.Seq
	w.g.applyState(s)
}

// nextPeerSteward returns the steward address of the next live peer in rotation, or "" if there is none.
func (w *watcher) nextPeerSteward() string {
	var addresses []string
	for _, p := range w.g.state.Peers() {
		if p.ID != w.g.opts.Settings.ID && p.StewardAddress != "" {
			addresses = append(addresses, p.StewardAddress)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	w.rotation++
	return addresses[w.rotation%len(addresses)]
}

// watchOnce sends one watch to a steward. The start of a planned stop ends the wait, so that the next watch
// reports to the steward that the gate is draining.
func (g *Gate) watchOnce(ctx context.Context, steward string, since uint64, wait, slack time.Duration) (*wire.State, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	tables, revision := g.state.Tables()
	if tables == nil {
		revision = noRevision
	}
	p := wire.WatchParams{
		GateID: g.opts.Settings.ID, GateIncarnation: g.incarnation, Since: since, WaitMs: wait.Milliseconds(),
		Revision: revision, Draining: g.stop.stopping(),
	}
	if p.Draining {
		p.WaitMs = 0
		sleep(ctx, watchBackoff)
	} else {
		stop := context.AfterFunc(g.stop.started, cancel)
		defer stop()
	}
	s := new(wire.State)
	if err := g.pool.Call(ctx, steward, wire.MethodWatch, p, s); err != nil {
		return nil, err
	}
	return s, nil
}
