// Package quarantine finds requests that crash the targets that run them. A request whose run
// ended with a dead target is a suspect and runs next alone; if that target dies too, the request
// is quarantined by its fingerprint, and what shared the first target with it is cleared. It does
// no I/O; the time is an argument.
package quarantine

import (
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// Bounds of a Book.
const (
	// SuspectTTL is how long a suspicion holds.
	SuspectTTL = 10 * time.Minute
	// TTL is how long a quarantine holds.
	TTL = 10 * time.Minute
	// maxSuspects and maxBarred bound the book; the oldest are forgotten.
	maxSuspects = 4096
	maxBarred   = 1024
	// unknownBootWindow is how long a death of an unknown incarnation stays explained.
	unknownBootWindow = 5 * time.Second
	// maxExplained bounds the deaths whose cause is remembered.
	maxExplained = 256
	// deathsToBar is the number of dead targets that quarantines a request.
	deathsToBar = 2
)

// place is one run of one target.
type place struct{ target, boot string }

// suspect is a request whose run ended with dead targets.
type suspect struct {
	places []place
	until  time.Time
}

// Book holds suspects and quarantined requests by fingerprint.
type Book struct {
	suspects map[string]*suspect
	barred   map[string]wire.Quarantine
	// explained are deaths that a quarantined request caused; who shared the target is no suspect.
	explained []explanation
}

// explanation is a death whose cause is known, kept for SuspectTTL.
type explanation struct {
	place
	at time.Time
}

// holds tells whether the explanation covers a death at p. Where an incarnation is unknown it
// covers only what is told at about the same time.
func (e explanation) holds(now time.Time, p place) bool {
	window := SuspectTTL
	if e.boot == "" || p.boot == "" {
		window = unknownBootWindow
	}
	return e.same(p) && now.Sub(e.at) <= window
}

// same tells whether both name one run of a target; an unknown incarnation may be any.
func (p place) same(q place) bool {
	return p.target == q.target && (p.boot == q.boot || p.boot == "" || q.boot == "")
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{suspects: map[string]*suspect{}, barred: map[string]wire.Quarantine{}}
}

// Verdict tells what a death makes of a request.
type Verdict struct {
	// Quarantined is true if the request gets its final answer.
	Quarantined bool
	Quarantine  wire.Quarantine
	// Deaths are all deaths of the quarantined request.
	Deaths []wire.Death
	// Cleared are suspects that shared the earlier targets.
	Cleared []string
}

// Death records that a target died while it ran the request.
func (b *Book) Death(now time.Time, d wire.Death) Verdict {
	if q, ok := b.Barred(now, d.Fingerprint); ok {
		return Verdict{Quarantined: true, Quarantine: q}
	}
	p := place{d.Target, d.Boot}
	if b.isExplained(now, p) {
		return Verdict{}
	}
	s := b.suspects[d.Fingerprint]
	if s == nil || now.After(s.until) {
		s = &suspect{}
		b.suspects[d.Fingerprint] = s
	}
	s.until = now.Add(SuspectTTL)
	if !slices.Contains(s.places, p) {
		s.places = append(s.places, p)
	}
	b.bound(now)
	if !d.Alone || len(s.places) < deathsToBar || b.hasRival(d.Fingerprint, p) {
		return Verdict{}
	}
	q := wire.Quarantine{Fingerprint: d.Fingerprint, Until: now.Add(TTL), Deaths: len(s.places)}
	v := Verdict{Quarantined: true, Quarantine: q}
	for _, p := range s.places {
		v.Deaths = append(v.Deaths, wire.Death{Fingerprint: d.Fingerprint, Target: p.target, Boot: p.boot, Alone: true})
	}
	v.Cleared = b.bar(now, q)
	return v
}

// hasRival tells whether another suspect died as often, the last time at the same place: the one
// that reached the target through a gate that had not heard of it yet. Then neither is proven, and
// both run alone again.
func (b *Book) hasRival(fingerprint string, p place) bool {
	for fp, s := range b.suspects {
		if fp != fingerprint && len(s.places) >= deathsToBar && slices.ContainsFunc(s.places, p.same) {
			return true
		}
	}
	return false
}

// Bar quarantines a request that another node has found, and returns the suspects that this clears.
func (b *Book) Bar(now time.Time, q wire.Quarantine) []string {
	if now.After(q.Until) {
		return nil
	}
	if old, ok := b.barred[q.Fingerprint]; ok && !q.Until.After(old.Until) {
		return nil
	}
	return b.bar(now, q)
}

func (b *Book) bar(now time.Time, q wire.Quarantine) []string {
	b.barred[q.Fingerprint] = q
	var cleared []string
	if s := b.suspects[q.Fingerprint]; s != nil {
		delete(b.suspects, q.Fingerprint)
		cleared = b.clearShared(s.places)
		for _, p := range s.places {
			b.explained = append(b.explained, explanation{p, now})
		}
		b.explained = b.explained[max(0, len(b.explained)-maxExplained):]
	}
	b.bound(now)
	return cleared
}

// clearShared clears the suspects whose targets' deaths are all explained by places.
func (b *Book) clearShared(places []place) []string {
	var cleared []string
	for fp, s := range b.suspects {
		s.places = slices.DeleteFunc(s.places, func(p place) bool { return slices.ContainsFunc(places, p.same) })
		if len(s.places) == 0 {
			delete(b.suspects, fp)
			cleared = append(cleared, fp)
		}
	}
	slices.Sort(cleared)
	return cleared
}

func (b *Book) isExplained(now time.Time, p place) bool {
	return slices.ContainsFunc(b.explained, func(e explanation) bool { return e.holds(now, p) })
}

// Clear drops the suspicion of a request that ran to its end.
func (b *Book) Clear(fingerprint string) bool {
	_, ok := b.suspects[fingerprint]
	delete(b.suspects, fingerprint)
	return ok
}

// Suspect tells whether the request must run alone.
func (b *Book) Suspect(now time.Time, fingerprint string) bool {
	s := b.suspects[fingerprint]
	return s != nil && !now.After(s.until)
}

// Barred tells whether the request is quarantined.
func (b *Book) Barred(now time.Time, fingerprint string) (wire.Quarantine, bool) {
	q, ok := b.barred[fingerprint]
	if ok && now.After(q.Until) {
		delete(b.barred, fingerprint)
		return wire.Quarantine{}, false
	}
	return q, ok
}

// bound forgets what has expired, and the entries that expire first above the bounds.
func (b *Book) bound(now time.Time) {
	for len(b.suspects) > maxSuspects {
		delete(b.suspects, firstToExpire(b.suspects, func(s *suspect) time.Time { return s.until }))
	}
	for len(b.barred) > maxBarred {
		delete(b.barred, firstToExpire(b.barred, func(q wire.Quarantine) time.Time { return q.Until }))
	}
}

func firstToExpire[V any](m map[string]V, until func(V) time.Time) string {
	first := ""
	for k, v := range m {
		if first == "" || until(v).Before(until(m[first])) || until(v).Equal(until(m[first])) && k < first {
			first = k
		}
	}
	return first
}

// State is what /debug/state shows of a Book.
type State struct {
	Suspects    []string          `json:"suspects"`
	Quarantined []wire.Quarantine `json:"quarantined"`
}

// State returns the suspects and the quarantined requests, sorted.
func (b *Book) State() State {
	var s State
	for fp := range b.suspects {
		s.Suspects = append(s.Suspects, fp)
	}
	for _, q := range b.barred {
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
