package rumor

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// Limits of the decision on requests that were running when an engine died.
const (
	// DeathTTL is how long a death counts, and therefore how long a quarantine lasts.
	DeathTTL = 10 * time.Minute
	// MinDeathsToQuarantine is the number of engine deaths after which a request can be quarantined.
	MinDeathsToQuarantine = 2
)

// NewDeath returns the rumor that an engine died while it ran the request. The key consists of
// fingerprint, target and boot; the value is true if the request ran alone.
func NewDeath(now time.Time, d wire.Death) wire.Rumor {
	alone, _ := json.Marshal(d.Alone) // a bool always encodes
	return wire.Rumor{
		Kind: KindDeath, Key: d.Key(),
		Seq: now.UnixMilli(), Expires: now.Add(DeathTTL).UnixMilli(), Value: alone,
	}
}

// NewCleared returns the rumor that clears a suspect of all its deaths up to now.
func NewCleared(now time.Time, fingerprint string) wire.Rumor {
	return wire.Rumor{Kind: KindCleared, Key: fingerprint, Seq: now.UnixMilli(), Expires: now.Add(DeathTTL).UnixMilli()}
}

// deathRecord combines the deaths of one fingerprint.
type deathRecord struct {
	deaths  map[string]bool // by engine and boot
	alone   bool
	expires int64
}

// QuarantineState returns the quarantined requests and the fingerprints of the suspects, which must run alone,
// both sorted by fingerprint. A request is quarantined after two deaths if it ran alone in at least one
// of them. A request that never ran alone is not quarantined: engines also die together, for
// example when a rack fails.
func (s *Store) QuarantineState() (quarantined []wire.Quarantine, suspects []string) {
	records := s.deathRecords()
	for fp, r := range records {
		if len(r.deaths) >= MinDeathsToQuarantine && r.alone {
			quarantined = append(quarantined, wire.Quarantine{Fingerprint: fp, Until: time.UnixMilli(r.expires).UTC(), Deaths: len(r.deaths)})
			continue
		}
		suspects = append(suspects, fp)
	}
	slices.SortFunc(quarantined, func(a, b wire.Quarantine) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	slices.Sort(suspects)
	return quarantined, suspects
}

// deathRecords returns the deaths by fingerprint, except those at or before a clearing of the request.
func (s *Store) deathRecords() map[string]*deathRecord {
	out := map[string]*deathRecord{}
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
			r = &deathRecord{deaths: map[string]bool{}}
			out[fp] = r
		}
		r.deaths[engine] = true
		r.alone = r.alone || string(e.Value) == "true"
		r.expires = max(r.expires, e.Expires)
	}
	return out
}
