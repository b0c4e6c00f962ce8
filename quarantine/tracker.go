// Package quarantine detects requests that crash the targets that run them. A request that was
// running when its target died is a suspect and is next run alone on a target. If that target dies
// too, the request is quarantined by its fingerprint, and the suspects whose deaths it explains are
// cleared. The package does no I/O and reads no clock.
package quarantine

import (
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// Limits of suspicions and quarantines.
const (
	// SuspectTTL is how long a request is a suspect after the last death of its targets.
	SuspectTTL = 10 * time.Minute
	// TTL is how long a quarantine lasts.
	TTL = 10 * time.Minute
	// maxSuspects and maxQuarantined limit the entries; those that expire first are evicted.
	maxSuspects    = 4096
	maxQuarantined = 1024
	// unknownBootAttributionTTL replaces SuspectTTL for attributed deaths where a boot ID is unknown.
	unknownBootAttributionTTL = 5 * time.Second
	// maxAttributed is the maximum number of attributed deaths.
	maxAttributed = 256
	// deathsToQuarantine is the number of target deaths after which a request is quarantined.
	deathsToQuarantine = 2
	// deathsWithoutTrial is the number of target deaths after which a request is quarantined although it never ran alone.
	deathsWithoutTrial = 3
	// ReportWindow is the time that other nodes have to report what they ran on a target that died.
	ReportWindow = 500 * time.Millisecond
	// commonFailureTargets is the number of targets that die within commonFailureWindow from which on their deaths are put
	// down to a common cause, as the failure of a rack, and not to a request that ran on one of them.
	commonFailureTargets = 3
	commonFailureWindow  = 100 * time.Millisecond
	// maxDeathTimes limits the deaths whose times are kept.
	maxDeathTimes = 1024
)

// targetRun identifies one run of a target process. An empty boot means that the run is unknown.
type targetRun struct{ target, boot string }

// suspect is a request that was running when targets died.
type suspect struct {
	deathsOn  []targetRun
	lastDeath time.Time
	expires   time.Time
}

// Tracker tracks suspects and quarantined requests by fingerprint. It is not safe for concurrent use.
type Tracker struct {
	suspects    map[string]*suspect
	quarantined map[string]wire.Quarantine
	// attributed holds the deaths that quarantined requests caused; other requests that ran on those
	// targets do not become suspects.
	attributed []attributedDeath
	// diedAt holds the times of deaths, the oldest first.
	diedAt []timedDeath
}

// timedDeath is the time at which a target died.
type timedDeath struct {
	targetRun
	at time.Time
}

// attributedDeath is a death whose cause is known.
type attributedDeath struct {
	targetRun
	at time.Time
}

// covers reports whether e is the death of r, as reported at now. An attributed death covers reports
// for SuspectTTL, or only for unknownBootAttributionTTL if a boot ID is unknown.
func (a attributedDeath) covers(now time.Time, r targetRun) bool {
	window := SuspectTTL
	if a.boot == "" || r.boot == "" {
		window = unknownBootAttributionTTL
	}
	return a.matches(r) && now.Sub(a.at) <= window
}

// matches reports whether r and q may be the same run of a target; an unknown boot matches any.
func (r targetRun) matches(q targetRun) bool {
	return r.target == q.target && (r.boot == q.boot || r.boot == "" || q.boot == "")
}

// NewTracker returns an empty set of suspects and quarantined requests.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[string]*suspect{}, quarantined: map[string]wire.Quarantine{}}
}

// Verdict is the result of recording a death.
type Verdict struct {
	// Quarantined is true if the request is quarantined and must be answered with an error.
	Quarantined bool
	Quarantine  wire.Quarantine
	// Deaths holds all deaths of the newly quarantined request.
	Deaths []wire.Death
	// Cleared holds the fingerprints of suspects that the quarantine clears.
	Cleared []string
}

// RecordDeath records that a target died while it ran the request. The request is quarantined if it ran
// alone, it has deathsToQuarantine deaths, and no other suspect may have caused this one.
func (t *Tracker) RecordDeath(now time.Time, d wire.Death) Verdict {
	if q, ok := t.Quarantined(now, d.Fingerprint); ok {
		return Verdict{Quarantined: true, Quarantine: q}
	}
	r := targetRun{d.Target, d.Boot}
	if t.isAttributed(now, r) {
		return Verdict{}
	}
	s := t.suspects[d.Fingerprint]
	if s == nil || now.After(s.expires) {
		s = &suspect{}
		t.suspects[d.Fingerprint] = s
	}
	s.expires = now.Add(SuspectTTL)
	if !slices.Contains(s.deathsOn, r) {
		s.deathsOn, s.lastDeath = append(s.deathsOn, r), now
	}
	t.enforceLimits(now)
	if !d.Alone || len(s.deathsOn) < deathsToQuarantine || t.hasOtherCandidate(d.Fingerprint, r) {
		return Verdict{}
	}
	q := wire.Quarantine{Fingerprint: d.Fingerprint, Until: now.Add(TTL), Deaths: len(s.deathsOn)}
	v := Verdict{Quarantined: true, Quarantine: q}
	for _, r := range s.deathsOn {
		v.Deaths = append(v.Deaths, wire.Death{Fingerprint: d.Fingerprint, Target: r.target, Boot: r.boot, Alone: true})
	}
	v.Cleared = t.quarantine(now, q)
	return v
}

// Status is the status of a request according to the deaths of its targets.
type Status int

// Statuses of a request.
const (
	// StatusClear means that the request runs as usual.
	StatusClear Status = iota
	// StatusSuspect means that the request runs apart from others where possible.
	StatusSuspect
	// StatusUndecided means that there are enough deaths, but other nodes may still report what else ran on the
	// targets. The request waits.
	StatusUndecided
	// StatusQuarantined means that the request is not run.
	StatusQuarantined
)

// RecordDeathAt is RecordDeath for a death at a known time. Decide compares it with the times of other deaths.
func (t *Tracker) RecordDeathAt(now, at time.Time, d wire.Death) {
	r := targetRun{d.Target, d.Boot}
	if !slices.ContainsFunc(t.diedAt, func(x timedDeath) bool { return x.targetRun == r }) {
		t.diedAt = append(t.diedAt, timedDeath{r, at})
		t.diedAt = t.diedAt[max(0, len(t.diedAt)-maxDeathTimes):]
	}
	t.RecordDeath(now, d)
}

// countSeparateDeaths returns the number of deaths of s without those of a common failure of several targets.
func (t *Tracker) countSeparateDeaths(s *suspect) int {
	var own, others []timedDeath
	for _, x := range t.diedAt {
		if slices.ContainsFunc(s.deathsOn, x.matches) {
			own = append(own, x)
		} else {
			others = append(others, x)
		}
	}
	separate := len(s.deathsOn)
	for _, x := range own {
		coincident := 1
		for _, y := range others {
			if y.at.Sub(x.at).Abs() <= commonFailureWindow {
				coincident++
			}
		}
		if coincident >= commonFailureTargets {
			separate--
		}
	}
	return separate
}

// Decide decides on a request without a trial. It is quarantined after deathsWithoutTrial deaths, ReportWindow after the
// last one, unless other suspects with as many were there each time: then the next death shows which of them is the cause.
// Deaths of a common failure do not count.
func (t *Tracker) Decide(now time.Time, fingerprint string) (Status, wire.Quarantine) {
	if q, ok := t.Quarantined(now, fingerprint); ok {
		return StatusQuarantined, q
	}
	s := t.suspects[fingerprint]
	switch {
	case s == nil || now.After(s.expires):
		return StatusClear, wire.Quarantine{}
	case len(s.deathsOn) < deathsWithoutTrial || t.countSeparateDeaths(s) < deathsWithoutTrial:
		return StatusSuspect, wire.Quarantine{}
	case t.isExplained(now, fingerprint, s):
		return StatusSuspect, wire.Quarantine{}
	case now.Sub(s.lastDeath) < ReportWindow:
		return StatusUndecided, wire.Quarantine{}
	}
	q := wire.Quarantine{Fingerprint: fingerprint, Until: now.Add(TTL), Deaths: len(s.deathsOn)}
	t.quarantine(now, q)
	return StatusQuarantined, q
}

// isExplained reports whether at each death of s another suspect was running that has enough deaths itself. Then s may
// have run beside the causes, and the next death shows whether it did.
func (t *Tracker) isExplained(now time.Time, fingerprint string, s *suspect) bool {
	var others []targetRun
	for fp, other := range t.suspects {
		if fp != fingerprint && !now.After(other.expires) && len(other.deathsOn) >= deathsWithoutTrial {
			others = append(others, other.deathsOn...)
		}
	}
	return !slices.ContainsFunc(s.deathsOn, func(r targetRun) bool { return !slices.ContainsFunc(others, r.matches) })
}

// Clear removes a request from the suspects and from quarantine.
func (t *Tracker) Clear(fingerprint string) {
	delete(t.suspects, fingerprint)
	delete(t.quarantined, fingerprint)
}

// ForgetDeath removes a death from the suspicions against its request.
func (t *Tracker) ForgetDeath(d wire.Death) {
	s := t.suspects[d.Fingerprint]
	if s == nil {
		return
	}
	s.deathsOn = slices.DeleteFunc(s.deathsOn, func(r targetRun) bool { return r == targetRun{d.Target, d.Boot} })
	if len(s.deathsOn) == 0 {
		delete(t.suspects, d.Fingerprint)
	}
}

// Empty reports whether there are neither suspects nor quarantined requests.
func (t *Tracker) Empty() bool { return len(t.suspects) == 0 && len(t.quarantined) == 0 }

// hasOtherCandidate reports whether another suspect with enough deaths also ran on r: it reached the
// target through a gate that did not know of the trial yet. Then the cause is not proven, and both
// must run alone again.
func (t *Tracker) hasOtherCandidate(fingerprint string, r targetRun) bool {
	for fp, s := range t.suspects {
		if fp != fingerprint && len(s.deathsOn) >= deathsToQuarantine && slices.ContainsFunc(s.deathsOn, r.matches) {
			return true
		}
	}
	return false
}

// AddQuarantine adds a quarantine that another node decided and returns the suspects that it clears.
func (t *Tracker) AddQuarantine(now time.Time, q wire.Quarantine) []string {
	if now.After(q.Until) {
		return nil
	}
	if old, ok := t.quarantined[q.Fingerprint]; ok && !q.Until.After(old.Until) {
		return nil
	}
	return t.quarantine(now, q)
}

func (t *Tracker) quarantine(now time.Time, q wire.Quarantine) []string {
	t.quarantined[q.Fingerprint] = q
	var cleared []string
	if s := t.suspects[q.Fingerprint]; s != nil {
		delete(t.suspects, q.Fingerprint)
		cleared = t.clearShared(s.deathsOn)
		for _, r := range s.deathsOn {
			t.attributed = append(t.attributed, attributedDeath{r, now})
		}
		t.attributed = t.attributed[max(0, len(t.attributed)-maxAttributed):]
	}
	t.enforceLimits(now)
	return cleared
}

// clearShared removes runs from the deaths of all suspects, and returns the suspects that it cleared
// because they have no deaths left.
func (t *Tracker) clearShared(runs []targetRun) []string {
	var cleared []string
	for fp, s := range t.suspects {
		s.deathsOn = slices.DeleteFunc(s.deathsOn, func(r targetRun) bool { return slices.ContainsFunc(runs, r.matches) })
		if len(s.deathsOn) == 0 {
			delete(t.suspects, fp)
			cleared = append(cleared, fp)
		}
	}
	slices.Sort(cleared)
	return cleared
}

func (t *Tracker) isAttributed(now time.Time, r targetRun) bool {
	return slices.ContainsFunc(t.attributed, func(a attributedDeath) bool { return a.covers(now, r) })
}

// ClearSuspect removes a suspect that has run to completion, and reports whether it was a suspect.
func (t *Tracker) ClearSuspect(fingerprint string) bool {
	_, ok := t.suspects[fingerprint]
	delete(t.suspects, fingerprint)
	return ok
}

// IsSuspect reports whether the request must run alone.
func (t *Tracker) IsSuspect(now time.Time, fingerprint string) bool {
	s := t.suspects[fingerprint]
	return s != nil && !now.After(s.expires)
}

// Quarantined returns the quarantine of the request; ok is false if it is not quarantined.
func (t *Tracker) Quarantined(now time.Time, fingerprint string) (wire.Quarantine, bool) {
	q, ok := t.quarantined[fingerprint]
	if ok && now.After(q.Until) {
		delete(t.quarantined, fingerprint)
		return wire.Quarantine{}, false
	}
	return q, ok
}

// enforceLimits evicts the entries that expire first while a map exceeds its limit.
func (t *Tracker) enforceLimits(now time.Time) {
	for len(t.suspects) > maxSuspects {
		delete(t.suspects, firstToExpire(t.suspects, func(s *suspect) time.Time { return s.expires }))
	}
	for len(t.quarantined) > maxQuarantined {
		delete(t.quarantined, firstToExpire(t.quarantined, func(q wire.Quarantine) time.Time { return q.Until }))
	}
}

func firstToExpire[V any](m map[string]V, expires func(V) time.Time) string {
	first := ""
	for k, v := range m {
		if first == "" || expires(v).Before(expires(m[first])) || expires(v).Equal(expires(m[first])) && k < first {
			first = k
		}
	}
	return first
}

// State lists suspects and quarantined requests for /debug/state.
type State struct {
	Suspects    []string          `json:"suspects"`
	Quarantined []wire.Quarantine `json:"quarantined"`
}

// State returns the suspects and the quarantined requests, sorted.
func (t *Tracker) State() State {
	var s State
	for fp := range t.suspects {
		s.Suspects = append(s.Suspects, fp)
	}
	for _, q := range t.quarantined {
		s.Quarantined = append(s.Quarantined, q)
	}
	slices.Sort(s.Suspects)
	slices.SortFunc(s.Quarantined, func(x, y wire.Quarantine) int {
		if x.Fingerprint < y.Fingerprint {
			return -1
		}
		return 1
	})
	return s
}
