package rumor

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// Bounds of the judgement on requests that ran when an engine died.
const (
	// DeathTTL is how long a death is remembered, and a request barred.
	DeathTTL = 10 * time.Minute
	// DeathsToQuarantine is after how many engine deaths a request is barred.
	DeathsToQuarantine = 2
)

// NewDeath returns the rumor of an engine's death with a suspect on it.
func NewDeath(now time.Time, d wire.Death) wire.Rumor {
	alone, _ := json.Marshal(d.Alone) // a bool always encodes
	return wire.Rumor{
		Kind: KindDeath, Key: d.Fingerprint + "|" + d.Target + "|" + d.Boot,
		Seq: now.UnixMilli(), Expires: now.Add(DeathTTL).UnixMilli(), Value: alone,
	}
}

// NewCleared returns the rumor that a request proved harmless.
func NewCleared(now time.Time, fingerprint string) wire.Rumor {
	return wire.Rumor{Kind: KindCleared, Key: fingerprint, Seq: now.UnixMilli(), Expires: now.Add(DeathTTL).UnixMilli()}
}

// record is what is known of one fingerprint.
type record struct {
	deaths map[string]bool // by engine and boot
	alone  bool
	until  int64
}

// Judge returns the requests that are barred and those that must run alone. A request is barred
// after two deaths if a gate has proven one of them by a run alone; that nobody else was in both proves
// nothing, as engines die together when a rack is lost.
func (s *Store) Judge() (barred []wire.Quarantine, suspects []string) {
	records := s.records()
	for fp, r := range records {
		if len(r.deaths) >= DeathsToQuarantine && r.alone {
			barred = append(barred, wire.Quarantine{Fingerprint: fp, Until: time.UnixMilli(r.until).UTC(), Deaths: len(r.deaths)})
			continue
		}
		suspects = append(suspects, fp)
	}
	slices.SortFunc(barred, func(a, b wire.Quarantine) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	slices.Sort(suspects)
	return barred, suspects
}

// records joins deaths that no later clearing has undone.
func (s *Store) records() map[string]*record {
	out := map[string]*record{}
	for k, e := range s.entries {
		fp, engine, ok := strings.Cut(k.key, "|")
		if k.kind != KindDeath || !ok {
			continue
		}
		if c := s.entries[key{KindCleared, fp}]; c != nil && c.Seq >= e.Seq {
			continue
		}
		r := out[fp]
		if r == nil {
			r = &record{deaths: map[string]bool{}}
			out[fp] = r
		}
		r.deaths[engine] = true
		r.alone = r.alone || string(e.Value) == "true"
		r.until = max(r.until, e.Expires)
	}
	return out
}
