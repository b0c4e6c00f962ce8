package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/wire"
)

// notifyTimeout bounds the delivery of a notice to peers, which precedes the final error of a quarantined request.
const notifyTimeout = 500 * time.Millisecond

// Bounds of notices and trials.
const (
	// maxQueuedNotices is the capacity of the queue of notices to peers.
	maxQueuedNotices = 1024
	// maxDeathsPerNotice is the number of deaths in a notice at which merging further notices into it stops.
	maxDeathsPerNotice = 256
	// peerDeathWindow is the time to wait for peers that observed the same death to report it.
	peerDeathWindow = 100 * time.Millisecond
	// trialTimeout bounds a request to the arbiter.
	trialTimeout = 500 * time.Millisecond
	// trialRetryInterval is the delay before a refused trial is requested again.
	trialRetryInterval = 20 * time.Millisecond
)

// Fingerprint returns the SHA-256 of the route and the prompt in hex. It identifies a request by its content,
// independent of its ID and deadline.
func Fingerprint(route, prompt string) string {
	sum := sha256.Sum256([]byte(route + "\x00" + prompt))
	return hex.EncodeToString(sum[:])
}

// mustRunAlone reports whether the request is a suspect and must run alone on its target. It returns an error if
// the request is quarantined.
func (d *Dispatcher) mustRunAlone(fingerprint string) (alone bool, err *api.Error) {
	if d.opts.Policy.Quarantine == policyOff {
		return false, nil
	}
	d.quarantineMu.Lock()
	defer d.quarantineMu.Unlock()
	now := d.opts.Now()
	if q, ok := d.tracker.Quarantined(now, fingerprint); ok {
		return false, errQuarantined(q)
	}
	return d.tracker.IsSuspect(now, fingerprint), nil
}

// Arbitrate begins or ends a trial at the request of a gate, with this gate as the arbiter of the pool. It reports
// whether the trial is granted.
func (d *Dispatcher) Arbitrate(p wire.TrialParams) bool {
	d.quarantineMu.Lock()
	defer d.quarantineMu.Unlock()
	if p.End {
		d.arbiter.EndTrial(p.Fingerprint, p.GateID)
		return true
	}
	return d.arbiter.BeginTrial(d.opts.Now(), p.Fingerprint, p.Target, p.GateID)
}

// beginTrial asks the arbiter to grant the run of a suspect alone on the target of the placement. If no arbiter
// answers, the run goes ahead, but a death of the target is then no evidence against the request.
func (d *Dispatcher) beginTrial(ctx context.Context, fingerprint string, placed *placement) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	granted, err := d.opts.RequestTrial(ctx, wire.TrialParams{Pool: placed.pool.name, Fingerprint: fingerprint, Target: placed.address, GateID: d.opts.GateID})
	if err != nil {
		d.opts.Log.Warn("trial_without_arbiter", "pool", placed.pool.name, "err", err)
		return true
	}
	placed.trialGranted = granted
	return granted
}

// endTrial reports the end of the trial to the arbiter in the background, if one was granted.
func (d *Dispatcher) endTrial(fingerprint string, placed *placement) {
	if !placed.trialGranted {
		return
	}
	p := wire.TrialParams{Pool: placed.pool.name, Fingerprint: fingerprint, Target: placed.address, GateID: d.opts.GateID, End: true}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
		defer cancel()
		if _, err := d.opts.RequestTrial(ctx, p); err != nil {
			d.opts.Log.Warn("trial_not_ended", "pool", p.Pool, "err", err)
		}
	}()
}

// recordDeath records that the engine died while it ran the request and notifies the peers. It returns an error
// if the request is quarantined as a result. Deaths are reported to the steward only once trials have confirmed
// them and the request is quarantined.
func (d *Dispatcher) recordDeath(ctx context.Context, fingerprint string, placed *placement) *api.Error {
	placed.pool.updateTable(func(now time.Time, t *routing.Table) { t.RecordUnreachable(now, placed.address) })
	if d.opts.Policy.Quarantine == policyOff {
		return nil
	}
	death := wire.Death{Fingerprint: fingerprint, Target: placed.address, Boot: placed.boot}
	d.quarantineMu.Lock()
	firstDeath := !d.tracker.IsSuspect(d.opts.Now(), fingerprint)
	d.tracker.RecordDeath(d.opts.Now(), death)
	d.quarantineMu.Unlock()
	d.opts.Log.Warn("target_died", "pool", placed.pool.name, "target", placed.address, "boot", placed.boot, "fingerprint", fingerprint, "alone", placed.trialGranted)
	notice := wire.QuarantineNotice{Deaths: []wire.Death{death}}
	if firstDeath || !placed.trialGranted {
		d.queueNotice(notice)
		return nil
	}
	d.notify(ctx, notice)
	sleepContext(context.WithoutCancel(ctx), peerDeathWindow)
	death.Alone = true
	return d.concludeTrial(ctx, death)
}

// concludeTrial decides whether to quarantine a suspect whose target died during its trial. The caller has
// waited for the peers to report other requests that were running on the target.
func (d *Dispatcher) concludeTrial(ctx context.Context, death wire.Death) *api.Error {
	d.quarantineMu.Lock()
	verdict := d.tracker.RecordDeath(d.opts.Now(), death)
	d.quarantineMu.Unlock()
	if !verdict.Quarantined {
		return nil
	}
	d.opts.Log.Warn("request_quarantined", "fingerprint", death.Fingerprint, "deaths", verdict.Quarantine.Deaths, "cleared", len(verdict.Cleared))
	d.opts.ReportToSteward(wire.ReportParams{Deaths: verdict.Deaths, Cleared: verdict.Cleared})
	d.notify(ctx, wire.QuarantineNotice{Cleared: verdict.Cleared, Quarantined: []wire.Quarantine{verdict.Quarantine}})
	return errQuarantined(verdict.Quarantine)
}

// notify sends a notice to the peers, bypassing the queue, and waits for at most notifyTimeout.
func (d *Dispatcher) notify(ctx context.Context, n wire.QuarantineNotice) {
	if d.opts.NotifyPeers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	d.opts.NotifyPeers(ctx, n)
}

// queueNotice queues a notice for sendNotices. If the queue is full the notice is dropped, and peers learn of its
// content through gossip (package rumor).
func (d *Dispatcher) queueNotice(n wire.QuarantineNotice) {
	select {
	case d.queuedNotices <- n:
	default:
		d.metrics.deaths.Add("notices_dropped", 1)
	}
}

// sendNotices sends queued notices one after the other until ctx ends, so that peers receive them in order.
func (d *Dispatcher) sendNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-d.queuedNotices:
			d.notify(ctx, d.joinNotices(n))
		}
	}
}

// joinNotices merges queued notices into n, up to and including the first that clears requests.
func (d *Dispatcher) joinNotices(n wire.QuarantineNotice) wire.QuarantineNotice {
	for len(n.Cleared) == 0 && len(n.Deaths) < maxDeathsPerNotice {
		select {
		case more := <-d.queuedNotices:
			n.Deaths, n.Cleared = append(n.Deaths, more.Deaths...), more.Cleared
		default:
			return n
		}
	}
	return n
}

// clearSuspicion records that a request was completed, so that it is no longer a suspect, and reports this to the
// steward and the peers.
func (d *Dispatcher) clearSuspicion(fingerprint string) {
	d.quarantineMu.Lock()
	wasSuspect := d.tracker.ClearSuspect(fingerprint)
	d.quarantineMu.Unlock()
	if wasSuspect {
		d.opts.ReportToSteward(wire.ReportParams{Cleared: []string{fingerprint}})
		d.queueNotice(wire.QuarantineNotice{Cleared: []string{fingerprint}})
	}
}

// ApplyNotice applies a peer's notice of deaths, cleared and quarantined requests.
func (d *Dispatcher) ApplyNotice(n wire.QuarantineNotice) {
	if d.opts.Policy.Quarantine == policyOff {
		return
	}
	d.quarantineMu.Lock()
	defer d.quarantineMu.Unlock()
	now := d.opts.Now()
	for _, death := range n.Deaths {
		death.Alone = false // only the peer that ran the trial decides on it
		d.tracker.RecordDeath(now, death)
	}
	for _, q := range n.Quarantined {
		d.tracker.AddQuarantine(now, q)
	}
	for _, fp := range n.Cleared {
		d.tracker.ClearSuspect(fp)
	}
}

// applyQuarantines adds the quarantines from the steward's state.
func (d *Dispatcher) applyQuarantines(quarantines []wire.Quarantine) {
	if d.opts.Policy.Quarantine == policyOff {
		return
	}
	d.quarantineMu.Lock()
	defer d.quarantineMu.Unlock()
	for _, q := range quarantines {
		d.tracker.AddQuarantine(d.opts.Now(), q)
	}
}
