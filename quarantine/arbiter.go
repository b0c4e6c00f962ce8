package quarantine

import "time"

// TrialTTL bounds how long a trial holds when its gate does not end it.
const TrialTTL = time.Minute

// maxTrials bounds the trials at a time.
const maxTrials = 1024

// trial is a suspect that runs alone.
type trial struct {
	gate, target string
	until        time.Time
}

// Arbiter keeps trials apart: at one time a suspect has one trial, and a target one suspect, so
// that a death during a trial has one cause.
type Arbiter struct {
	trials map[string]trial
}

// NewArbiter returns an arbiter without trials.
func NewArbiter() *Arbiter { return &Arbiter{trials: map[string]trial{}} }

// Begin tells whether gate may run the suspect alone on target now.
func (a *Arbiter) Begin(now time.Time, fingerprint, target, gate string) bool {
	for fp, t := range a.trials {
		switch {
		case now.After(t.until):
			delete(a.trials, fp)
		case fp == fingerprint || t.target == target:
			return false
		}
	}
	if len(a.trials) >= maxTrials {
		return false
	}
	a.trials[fingerprint] = trial{gate: gate, target: target, until: now.Add(TrialTTL)}
	return true
}

// End ends the trial of a suspect by gate.
func (a *Arbiter) End(fingerprint, gate string) {
	if a.trials[fingerprint].gate == gate {
		delete(a.trials, fingerprint)
	}
}
