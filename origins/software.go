package origins

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/store"
)

const (
	// freshness is how old the newest complete read of the record may be for a VM to rely on it.
	freshness = 2500 * time.Millisecond
	// announceDelay is how long a version has been recorded before streams begin at it: by then each VM that relies on the record knows it.
	announceDelay = freshness + 500*time.Millisecond
	// absenceDelay is how long no registered target has had a version before it is marked as leaving. VMs see registrations up to 1.3 s late.
	absenceDelay = 2 * time.Second
	// earlierKey stands in the place of a version in the key that records that versions before the first record are not known.
	earlierKey = "earlier"
)

// versionRecord is the value of a record of the software versions of pools: the version may have begun streams that clients take up.
type versionRecord struct {
	// Version is empty in the record that stands for unknown earlier versions.
	Version string `json:"version"`
	// Announced is set once the version has been recorded for announceDelay.
	Announced bool `json:"announced,omitempty"`
	// Leaving is set once no target has the version. A VM that sees one records the version again; otherwise it is removed when the last
	// streams that began at it can't be taken up any more.
	Leaving bool `json:"leaving,omitempty"`
}

// versionKey returns the key under which a pool's version is recorded.
func versionKey(pool, version string) string {
	suffix := earlierKey
	if version != "" {
		suffix = strconv.FormatUint(xxhash.Sum64String(version), 16)
	}
	return pool + "|" + suffix
}

// poolOfKey returns the pool that a key names.
func poolOfKey(key string) (string, error) {
	i := strings.LastIndexByte(key, '|')
	if i <= 0 {
		return "", fmt.Errorf("key %.60q names no pool and version", key)
	}
	return key[:i], nil
}

// recordedVersion is a version in the record, as this VM knows it.
type recordedVersion struct {
	versionRecord       // of the newest record; without a version if that could not be decoded
	readable      bool  // whether it could
	offset        int64 // of the record by which this VM first knew the version
	since         time.Time
	// leavingSince is since when this VM has known that the version is leaving.
	leavingSince time.Time
	// absentSince is since when no registered target has had the version; zero while one has.
	absentSince time.Time
}

// poolSoftware is what a VM knows about the software versions of a pool's targets: those of the registered targets, and those in the record,
// which is kept in the store and outlives all VMs. It is free of I/O and of clocks.
type poolSoftware struct {
	// registered are the versions of the registered targets, open those of the targets that take new requests.
	registered, open []string
	recorded         map[string]*recordedVersion // by key
	// streamTime is how long after its first event a client may take a stream of the pool up.
	streamTime time.Duration
	// handedOver is set while the origins of all streams are handed over.
	handedOver bool
}

func newPoolSoftware() *poolSoftware {
	return &poolSoftware{recorded: map[string]*recordedVersion{}}
}

// observe applies the registered targets and reports whether their versions have changed.
func (p *poolSoftware) observe(now time.Time, targets []*fleet.Instance) (changed bool) {
	var versions, open []string
	for _, in := range targets {
		versions = append(versions, in.SoftwareVersion)
		if !in.Draining {
			open = append(open, in.SoftwareVersion)
		}
	}
	versions = distinct(versions)
	changed = !slices.Equal(versions, p.registered)
	p.registered, p.open = versions, distinct(open)
	for _, r := range p.recorded {
		p.recordAbsence(now, r)
	}
	return changed
}

// distinct returns the versions in order, each once.
func distinct(versions []string) []string {
	slices.Sort(versions)
	return slices.Compact(versions)
}

// recordAbsence notes since when a recorded version has had no target.
func (p *poolSoftware) recordAbsence(now time.Time, r *recordedVersion) {
	switch {
	case r.Version != "" && slices.Contains(p.registered, r.Version):
		r.absentSince = time.Time{}
	case r.absentSince.IsZero():
		r.absentSince = now
	}
}

// apply applies a record of the pool. A value that can't be decoded stands for a version that is not known.
func (p *poolSoftware) apply(now time.Time, rec store.KeyedRecord) error {
	if rec.Value == nil {
		delete(p.recorded, rec.Key)
		return nil
	}
	var value versionRecord
	err := json.Unmarshal(rec.Value, &value)
	if err != nil {
		value = versionRecord{}
	}
	r := p.recorded[rec.Key]
	if r == nil {
		r = &recordedVersion{offset: rec.Offset, since: now}
		p.recorded[rec.Key] = r
	}
	if value.Leaving && !r.Leaving {
		r.leavingSince = now
	}
	value.Announced = value.Announced || r.Announced // the version has been in the record all the time
	r.versionRecord, r.readable = value, err == nil
	p.recordAbsence(now, r)
	return err
}

// firstRecords returns the first records of a pool; no VM has taken it for uniform before. They hold only if nothing was appended meanwhile.
// firstStart is set if there can't have been earlier versions.
func (p *poolSoftware) firstRecords(pool string, firstStart bool) []store.KeyedRecord {
	if len(p.recorded) > 0 || len(p.registered) == 0 {
		return nil
	}
	var records []store.KeyedRecord
	if !firstStart {
		records = append(records, encodeVersion(pool, versionRecord{Leaving: true}))
	}
	for _, v := range p.registered {
		records = append(records, encodeVersion(pool, versionRecord{Version: v, Announced: true}))
	}
	return records
}

// due returns the records to be appended to those of a pool, if any, else the removal of a version whose streams can't be taken up any more.
func (p *poolSoftware) due(now time.Time, pool string) (additions []store.KeyedRecord, removal *store.KeyedRecord) {
	if len(p.recorded) == 0 {
		return nil, nil
	}
	kept := false
	for _, v := range p.registered {
		r := p.recorded[versionKey(pool, v)]
		kept = kept || r != nil
		switch {
		case r == nil || r.Leaving:
			additions = append(additions, encodeVersion(pool, versionRecord{Version: v}))
		case !r.Announced && now.Sub(r.since) > announceDelay:
			additions = append(additions, encodeVersion(pool, versionRecord{Version: v, Announced: true}))
		}
	}
	for key, r := range p.recorded {
		absent := kept && r.readable && !r.absentSince.IsZero()
		switch {
		case absent && !r.Leaving && now.Sub(r.absentSince) > absenceDelay:
			additions = append(additions, encodeVersion(pool, versionRecord{Version: r.Version, Leaving: true}))
		case absent && r.Leaving && now.Sub(r.leavingSince) > p.streamTime+announceDelay:
			removal = &store.KeyedRecord{Key: key}
		}
	}
	if len(additions) > 0 {
		return additions, nil
	}
	return nil, removal
}

// encodeVersion returns the record of a pool's version.
func encodeVersion(pool string, r versionRecord) store.KeyedRecord {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of a string and a bool
	}
	return store.KeyedRecord{Key: versionKey(pool, r.Version), Value: value}
}

// added applies records that were appended. Their offsets are not known, but higher than those of all records that were read.
func (p *poolSoftware) added(now time.Time, records []store.KeyedRecord, next int64) error {
	for _, rec := range records {
		rec.Offset = next
		if err := p.apply(now, rec); err != nil {
			return err
		}
	}
	return nil
}

// uniform reports whether streams that clients may still take up can only have begun at the one version that the targets have.
func (p *poolSoftware) uniform(pool string) bool {
	if len(p.registered) != 1 || len(p.recorded) != 1 {
		return false
	}
	r := p.recorded[versionKey(pool, p.registered[0])]
	return r != nil && r.readable
}

// mayBegin reports whether a stream may begin at a version: each VM that takes the pool for uniform must know that version. While that is
// certain for none that takes new requests, the one that was recorded first, which others know best, is used. reliable is set if the record
// was read lately.
func (p *poolSoftware) mayBegin(now time.Time, reliable bool, pool, version string) bool {
	if reliable && p.recorded[versionKey(pool, "")] != nil {
		return true // no VM has taken the pool for uniform since its first record
	}
	var first *recordedVersion
	known := false
	for _, v := range p.open {
		r := p.recorded[versionKey(pool, v)]
		if r == nil {
			continue
		}
		if !r.Leaving && (r.Announced || now.Sub(r.since) >= announceDelay) {
			known = true
			if v == version {
				return true
			}
		}
		if first == nil || r.offset < first.offset {
			first = r
		}
	}
	return !known && (first == nil || first.Version == version)
}
