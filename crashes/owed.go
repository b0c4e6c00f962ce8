package crashes

import (
	"fmt"
	"time"
)

// suspectDeaths is the number of deaths of targets from which on a request that is owed runs only after pauses.
const suspectDeaths = 3

// Pauses after the third and each further death of a target during an owed request. Bursts of crashes are over within seconds, after
// which the request must run soon.
var (
	itemPauses    = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second}
	scoringPauses = []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 8 * time.Second, 20 * time.Second, 40 * time.Second}
)

// AdmitItem decides whether an item of a batch may run. Items were accepted and are owed: one during which targets crashed runs apart from
// others and after pauses, but it is never given up.
func (r *Register) AdmitItem(fingerprint string) Admission {
	a, _ := r.admitOwed(fingerprint, itemPauses)
	return a
}

// AdmitScoring decides whether a call that scores an item may be sent, as AdmitItem does. After a death beyond the last pause it is
// decided on like a caller's request.
func (r *Register) AdmitScoring(fingerprint string) Admission {
	a, exhausted := r.admitOwed(fingerprint, scoringPauses)
	if exhausted {
		return r.Admit(fingerprint)
	}
	return a
}

// admitOwed decides on a request with the given pauses. exhausted is set if there have been more deaths than pauses; the last
// pause is used then.
func (r *Register) admitOwed(fingerprint string, pauses []time.Duration) (a Admission, exhausted bool) {
	if !r.inUse.Load() {
		return Admission{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var count int
	var last time.Time
	for _, d := range r.deaths[fingerprint] {
		if now.Before(d.expires) {
			count++
			if d.at.After(last) {
				last = d.at
			}
		}
	}
	if count < suspectDeaths {
		return Admission{Suspect: count > 0}, false
	}
	n := count - suspectDeaths
	exhausted = n >= len(pauses)
	if wait := pauses[min(n, len(pauses)-1)] - now.Sub(last); wait > 0 {
		return Admission{
			Rejected: true, RetryAfter: wait, Suspect: true,
			Reason: fmt.Sprintf("%d targets crashed while running this request; it runs again after a pause", count),
		}, exhausted
	}
	return Admission{Suspect: true}, exhausted
}
