package quarantine

import "time"

// TrialTTL is how long a trial lasts at most if its gate does not end it.
const TrialTTL = time.Minute

// maxTrials is the maximum number of concurrent trials.
const maxTrials = 1024

// trial is the run of a suspect as the only request on a target.
type trial struct {
	gate, target string
	expires      time.Time
}

// Arbiter grants trials so that a target's death during a trial has only one possible cause: at any
// time a suspect has at most one trial, and so has a target. It is not safe for concurrent use.
type Arbiter struct {
	trials map[string]trial
}

// NewArbiter returns an arbiter without trials.
func NewArbiter() *Arbiter { return &Arbiter{trials: map[string]trial{}} }

// BeginTrial starts a trial of the suspect on target if it may run there alone now, and reports whether it did.
func (a *Arbiter) BeginTrial(now time.Time, fingerprint, target, gate string) bool {
	for fp, t := range a.trials {
		switch {
		case now.After(t.expires):
			delete(a.trials, fp)
		case fp == fingerprint || t.target == target:
			return false
		}
	}
	if len(a.trials) >= maxTrials {
		return false
	}
	a.trials[fingerprint] = trial{gate: gate, target: target, expires: now.Add(TrialTTL)}
	return true
}

// EndTrial ends the trial of a suspect if gate started it.
func (a *Arbiter) EndTrial(fingerprint, gate string) {
	if a.trials[fingerprint].gate == gate {
		delete(a.trials, fingerprint)
	}
}
