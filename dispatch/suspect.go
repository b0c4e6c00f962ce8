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

// Fingerprint identifies a request by its content: what it asks for, not how often or how long.
func Fingerprint(route, prompt string) string {
	sum := sha256.Sum256([]byte(route + "\x00" + prompt))
	return hex.EncodeToString(sum[:])
}

// suspicion tells whether the request must run alone, or returns its final answer.
func (d *Dispatcher) suspicion(fingerprint string) (alone bool, err *api.Error) {
	if d.opts.Policy.Quarantine == policyOff {
		return false, nil
	}
	d.qmu.Lock()
	defer d.qmu.Unlock()
	now := d.opts.Now()
	if q, ok := d.book.Barred(now, fingerprint); ok {
		return false, errQuarantined(q)
	}
	return d.book.Suspect(now, fingerprint), nil
}

// trial makes runs alone of one fingerprint follow each other; it returns the function that ends the turn.
func (d *Dispatcher) trial(ctx context.Context, fingerprint string, alone bool) (func(), bool) {
	if !alone {
		return func() {}, true
	}
	for {
		d.qmu.Lock()
		turn, taken := d.trials[fingerprint]
		if !taken {
			turn = make(chan struct{})
			d.trials[fingerprint] = turn
			d.qmu.Unlock()
			return func() { d.endTrial(fingerprint, turn) }, true
		}
		d.qmu.Unlock()
		select {
		case <-turn:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (d *Dispatcher) endTrial(fingerprint string, turn chan struct{}) {
	d.qmu.Lock()
	delete(d.trials, fingerprint)
	d.qmu.Unlock()
	close(turn)
}

// died records that the engine of l died while it ran the request, tells the steward and the
// peers, and returns the final answer if the request is quarantined by it.
func (d *Dispatcher) died(ctx context.Context, fingerprint string, l *lease) *api.Error {
	l.pool.with(func(now time.Time, t *routing.Table) { t.Dead(now, l.address) })
	if d.opts.Policy.Quarantine == policyOff {
		return nil
	}
	death := wire.Death{Fingerprint: fingerprint, Target: l.address, Boot: l.boot, Alone: l.query.Alone}
	d.qmu.Lock()
	v := d.book.Death(d.opts.Now(), death)
	d.qmu.Unlock()
	d.opts.Log.Warn("target_died", "pool", l.pool.name, "target", l.address, "boot", l.boot, "fingerprint", fingerprint, "alone", death.Alone, "quarantined", v.Quarantined)
	d.opts.Report(wire.ReportParams{Deaths: []wire.Death{death}, Cleared: v.Cleared})
	notice := wire.QuarantineNotice{Deaths: []wire.Death{death}, Cleared: v.Cleared}
	if !v.Quarantined {
		go d.notify(ctx, notice)
		return nil
	}
	notice.Quarantined = []wire.Quarantine{v.Quarantine}
	d.notify(ctx, notice)
	return errQuarantined(v.Quarantine)
}

func (d *Dispatcher) notify(ctx context.Context, n wire.QuarantineNotice) {
	if d.opts.Notify == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	d.opts.Notify(ctx, n)
}

// cleared records that a request ran to its end, which ends its suspicion.
func (d *Dispatcher) cleared(fingerprint string) {
	d.qmu.Lock()
	was := d.book.Clear(fingerprint)
	d.qmu.Unlock()
	if was {
		d.opts.Report(wire.ReportParams{Cleared: []string{fingerprint}})
		go d.notify(context.Background(), wire.QuarantineNotice{Cleared: []string{fingerprint}})
	}
}

// Notice takes what a peer tells of suspects and quarantined requests.
func (d *Dispatcher) Notice(n wire.QuarantineNotice) {
	if d.opts.Policy.Quarantine == policyOff {
		return
	}
	d.qmu.Lock()
	defer d.qmu.Unlock()
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

// bar takes the quarantines that the steward knows of.
func (d *Dispatcher) bar(all []wire.Quarantine) {
	if d.opts.Policy.Quarantine == policyOff {
		return
	}
	d.qmu.Lock()
	defer d.qmu.Unlock()
	for _, q := range all {
		d.book.Bar(d.opts.Now(), q)
	}
}
