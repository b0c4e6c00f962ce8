package gate

import (
	"context"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Bounds of the watch on stewards.
const (
	// watchWait is how long one watch waits for news.
	watchWait = 3 * time.Second
	// watchSlack is how much longer than its wait an answer may take.
	watchSlack = 2 * time.Second
	// awaySlack bounds the question whether the VM's steward is back.
	awaySlack = time.Second
	// watchBackoff is the pause after a failed watch.
	watchBackoff = 250 * time.Millisecond
	// noRevision asks for any tables.
	noRevision = trial.Offset(-1)
)

// watcher follows the state of the VM's steward. While that one is away, what is in force stays,
// and the steward of another VM tells what is new: a gate whose steward is dead or frozen would
// otherwise send work to targets that leave, and keep an old configuration.
type watcher struct {
	g     *Gate
	since uint64 // Seq of the own steward's last state
	away  bool
	// peer is the steward that answers for the own one, peerSince the Seq of its last state.
	peer      string
	peerSince uint64
	turn      int
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
	if w.away {
		wait, slack = 0, awaySlack
	}
	stopping := w.g.stop.stopping()
	s, err := w.g.watchOnce(ctx, w.g.opts.Settings.StewardAddress, w.since, wait, slack)
	if err == nil {
		w.back(s)
		return
	}
	if ctx.Err() != nil || !stopping && w.g.stop.stopping() {
		return // the wait ended so that the steward hears of the stop
	}
	if !w.away {
		w.g.log.Warn("steward_away", "err", err)
	}
	w.away, w.since = true, 0
	w.askPeer(ctx)
	pause(ctx, watchBackoff)
}

// back takes a state of the own steward.
func (w *watcher) back(s *wire.State) {
	if w.away {
		w.g.log.Info("steward_back", "seq", s.Seq)
	}
	w.away, w.since, w.peer = false, s.Seq, ""
	w.g.apply(s)
}

// askPeer follows the steward of a peer, another one when it does not answer.
func (w *watcher) askPeer(ctx context.Context) {
	if w.peer == "" {
		if w.peer = w.choose(); w.peer == "" {
			return
		}
		w.peerSince = 0
	}
	s, err := w.g.watchOnce(ctx, w.peer, w.peerSince, watchWait, watchSlack)
	_, revision := w.g.state.Tables()
	if err != nil || !s.Ready || s.Revision < revision {
		w.peer = "" // away or behind itself
		return
	}
	if w.peerSince == 0 {
		w.g.log.Info("peer_steward_followed", "steward", w.peer)
	}
	w.peerSince = s.Seq
	w.g.apply(s)
}

// choose returns the stewards of live peers in turn.
func (w *watcher) choose() string {
	var known []string
	for _, p := range w.g.state.Peers() {
		if p.ID != w.g.opts.Settings.ID && p.StewardAddress != "" {
			known = append(known, p.StewardAddress)
		}
	}
	if len(known) == 0 {
		return ""
	}
	w.turn++
	return known[w.turn%len(known)]
}

// watchOnce asks once; the start of a planned stop ends the wait, so that the steward hears of it.
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
		pause(ctx, watchBackoff)
	} else {
		stop := context.AfterFunc(g.stop.began, cancel)
		defer stop()
	}
	s := new(wire.State)
	if err := g.pool.Call(ctx, steward, wire.MethodWatch, p, s); err != nil {
		return nil, err
	}
	return s, nil
}
