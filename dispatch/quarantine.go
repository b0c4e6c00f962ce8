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

// notifyTimeout bounds the wait for peers to learn of a quarantine before its final answer.
const notifyTimeout = 500 * time.Millisecond

// Bounds of notices and trials.
const (
	// maxQueuedNotices bounds the notices that wait to be sent.
	maxQueuedNotices = 1024
	// maxDeathsPerNotice bounds the deaths that one notice carries.
	maxDeathsPerNotice = 256
	// peerDeathWindow is how long peers may take to tell of a death that they saw too.
	peerDeathWindow = 100 * time.Millisecond
	// trialTimeout bounds a question to the arbiter.
	trialTimeout = 500 * time.Millisecond
	// trialRetryInterval is the wait before the arbiter is asked again.
	trialRetryInterval = 20 * time.Millisecond
)

// Fingerprint identifies a request by its content: what it asks for, not how often or how long.
func Fingerprint(route, prompt string) string {
	sum := sha256.Sum256([]byte(route + "\x00" + prompt))
	return hex.EncodeToString(sum[:])
}

// mustRunAlone tells whether the request must run alone, or returns its final answer.
func (d *Dispatcher) mustRunAlone(fingerprint string) (alone bool, err *api.Error) {
	if d.opts.Policy.Quarantine == policyOff {
		return false, nil
	}
	d.quarantineMu.Lock()
	defer d.quarantineMu.Unlock()
	now := d.opts.Now()
	if q, ok := d.book.Barred(now, fingerprint); ok {
		return false, errQuarantined(q)
	}
	return d.book.Suspect(now, fingerprint), nil
}

// Arbitrate decides on a trial that a gate asks this one for, as the arbiter of its pool.
func (d *Dispatcher) Arbitrate(p wire.TrialParams) bool {
	d.quarantineMu.Lock()
	defer d.quarantineMu.Unlock()
	if p.End {
		d.arbiter.End(p.Fingerprint, p.GateID)
		return true
	}
	return d.arbiter.Begin(d.opts.Now(), p.Fingerprint, p.Target, p.GateID)
}

// beginTrial asks for the run of a suspect alone on the target of l. Without an arbiter the run
// goes on, but its death proves nothing.
func (d *Dispatcher) beginTrial(ctx context.Context, fingerprint string, placed *placement) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	granted, err := d.opts.Trial(ctx, wire.TrialParams{Pool: placed.pool.name, Fingerprint: fingerprint, Target: placed.address, GateID: d.opts.GateID})
	if err != nil {
		d.opts.Log.Warn("trial_without_arbiter", "pool", placed.pool.name, "err", err)
		return true
	}
	placed.trialGranted = granted
	return granted
}

// endTrial gives the trial of l back.
func (d *Dispatcher) endTrial(fingerprint string, placed *placement) {
	if !placed.trialGranted {
		return
	}
	p := wire.TrialParams{Pool: placed.pool.name, Fingerprint: fingerprint, Target: placed.address, GateID: d.opts.GateID, End: true}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
		defer cancel()
		if _, err := d.opts.Trial(ctx, p); err != nil {
			d.opts.Log.Warn("trial_not_ended", "pool", p.Pool, "err", err)
		}
	}()
}

// recordDeath records that the engine of l died while it ran the request, tells the peers, and returns the
// final answer if the request is quarantined by it. The steward is told of proven deaths only.
func (d *Dispatcher) recordDeath(ctx context.Context, fingerprint string, placed *placement) *api.Error {
	placed.pool.updateTable(func(now time.Time, t *routing.Table) { t.Dead(now, placed.address) })
	if d.opts.Policy.Quarantine == policyOff {
		return nil
	}
	death := wire.Death{Fingerprint: fingerprint, Target: placed.address, Boot: placed.boot}
	d.quarantineMu.Lock()
	firstDeath := !d.book.Suspect(d.opts.Now(), fingerprint)
	d.book.Death(d.opts.Now(), death)
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

// concludeTrial decides on a suspect whose target died while it ran alone. Peers have had the time to tell
// whom else the target's death took.
func (d *Dispatcher) concludeTrial(ctx context.Context, death wire.Death) *api.Error {
	d.quarantineMu.Lock()
	result := d.book.Death(d.opts.Now(), death)
	d.quarantineMu.Unlock()
	if !result.Quarantined {
		return nil
	}
	d.opts.Log.Warn("request_quarantined", "fingerprint", death.Fingerprint, "deaths", result.Quarantine.Deaths, "cleared", len(result.Cleared))
	d.opts.Report(wire.ReportParams{Deaths: result.Deaths, Cleared: result.Cleared})
	d.notify(ctx, wire.QuarantineNotice{Cleared: result.Cleared, Quarantined: []wire.Quarantine{result.Quarantine}})
	return errQuarantined(result.Quarantine)
}

// notify tells peers at once, within notifyTimeout.
func (d *Dispatcher) notify(ctx context.Context, n wire.QuarantineNotice) {
	if d.opts.Notify == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	d.opts.Notify(ctx, n)
}

// queueNotice leaves a notice to sendNotices; one above the bound is left to the rumor.
func (d *Dispatcher) queueNotice(n wire.QuarantineNotice) {
	select {
	case d.queuedNotices <- n:
	default:
		d.metrics.deaths.Add("notices_dropped", 1)
	}
}

// sendNotices tells peers in order, so that no older word comes after a newer one.
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

// joinNotices adds the queued notices of the same kind to n.
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

// clearSuspicion records that a request ran to its end, which ends its suspicion.
func (d *Dispatcher) clearSuspicion(fingerprint string) {
	d.quarantineMu.Lock()
	wasSuspect := d.book.Clear(fingerprint)
	d.quarantineMu.Unlock()
	if wasSuspect {
		d.opts.Report(wire.ReportParams{Cleared: []string{fingerprint}})
		d.queueNotice(wire.QuarantineNotice{Cleared: []string{fingerprint}})
	}
}

// Notice takes what a peer tells of suspects and quarantined requests.
func (d *Dispatcher) Notice(n wire.QuarantineNotice) {
	if d.opts.Policy.Quarantine == policyOff {
		return
	}
	d.quarantineMu.Lock()
	defer d.quarantineMu.Unlock()
	now := d.opts.Now()
	for _, death := range n.Deaths {
		death.Alone = false // the peer that saw the run decides
		d.book.Death(now, death)
	}
	for _, q := range n.Quarantined {
		d.book.Bar(now, q)
	}
	for _, fp := range n.Cleared {
		d.book.Clear(fp)
	}
}

// applyQuarantines takes the quarantines that the steward knows of.
func (d *Dispatcher) applyQuarantines(quarantines []wire.Quarantine) {
	if d.opts.Policy.Quarantine == policyOff {
		return
	}
	d.quarantineMu.Lock()
	defer d.quarantineMu.Unlock()
	for _, q := range quarantines {
		d.book.Bar(d.opts.Now(), q)
	}
}
