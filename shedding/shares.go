package shedding

import (
	"math"
	"time"
)

// Shares of organisations.
const (
	// maxOrganisations bounds the organisations with a state of their own; further ones share one.
	maxOrganisations = 256
	// otherOrganisations is the key of the shared state. A name in the tables is never a single NUL.
	otherOrganisations = "\x00"
	// equalPart is the part of the places that is divided equally among the organisations that wait; the rest goes by their requests. It
	// leaves each organisation at least 0.4 of its share of all requests, however many others there are, where 0.25 is required.
	equalPart = 0.6
	// demandHalfLife is the time in which the count of an organisation's requests halves.
	demandHalfLife = 10 * time.Second
	// pruneInterval is the least time between two searches for states that can be dropped.
	pruneInterval = time.Second
	// minDemand is the count below which the state of an organisation may be dropped.
	minDemand = 0.01
)

// shares decides which organisation gets the next place, by start-time fair queueing. Places that an organisation does not use go to the
// others, and are not made up for later.
type shares struct {
	// virtual is the start tag of the last request served.
	virtual       float64
	organisations map[string]*share
	// prunedAt is when unused states were dropped last.
	prunedAt time.Time
}

// share is the state of one organisation.
type share struct {
	// finish is the tag at which its last request ends.
	finish float64
	// demand counts its requests, halved each demandHalfLife, as of demandAt.
	demand   float64
	demandAt time.Time
}

func newShares() shares { return shares{organisations: map[string]*share{}} }

// key returns the key of an organisation's state.
func (s *shares) key(organisation string) string {
	if s.organisations[organisation] == nil && len(s.organisations) >= maxOrganisations {
		return otherOrganisations
	}
	return organisation
}

func (s *shares) get(now time.Time, organisation string) *share {
	if s.organisations[organisation] == nil && len(s.organisations) >= maxOrganisations && now.Sub(s.prunedAt) >= pruneInterval {
		s.prunedAt = now
		for name, o := range s.organisations {
			if o.finish <= s.virtual && o.demandNow(now) < minDemand {
				delete(s.organisations, name)
			}
		}
	}
	name := s.key(organisation)
	o := s.organisations[name]
	if o == nil {
		o = &share{demandAt: now}
		s.organisations[name] = o
	}
	return o
}

func (o *share) demandNow(now time.Time) float64 {
	return o.demand * math.Exp2(-float64(now.Sub(o.demandAt))/float64(demandHalfLife))
}

// arrived counts a request of an organisation.
func (s *shares) arrived(now time.Time, organisation string) {
	o := s.get(now, organisation)
	o.demand, o.demandAt = o.demandNow(now)+1, now
}

// startTag returns the tag by which an organisation's next request is ordered.
func (s *shares) startTag(o *share) float64 { return max(s.virtual, o.finish) }

// served records that an organisation got a place while these organisations were waiting, itself included.
func (s *shares) served(now time.Time, o *share, waiting map[*share]bool) {
	total := 0.0
	for x := range waiting {
		total += x.demandNow(now)
	}
	n := float64(max(1, len(waiting)))
	weight := equalPart
	if total > 0 {
		weight += (1 - equalPart) * n * o.demandNow(now) / total
	}
	s.virtual = max(s.virtual, o.finish)
	o.finish = s.virtual + 1/weight
}
