package batch

import (
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// Bounds of what is believed of engines.
const (
	// loadTTL is how long an engine's word on its load is used.
	loadTTL = 1500 * time.Millisecond
	// paceGain is the weight of a new pace in the moving average.
	paceGain = 0.2
	// initialPace is the pace of an engine of which none was measured.
	initialPace = 40 * time.Millisecond
	// coolMin and coolMax bound the pause after failures, which doubles each time.
	coolMin = 500 * time.Millisecond
	coolMax = 8 * time.Second
	// fullPause is the pause after an engine said that it has no room for a model, or loads a version.
	fullPause = 100 * time.Millisecond
	// paceMemory is the time in which a slow engine that gets nothing to do is forgiven, so that it is
	// tried again.
	paceMemory = 5 * time.Second
)

// engine is what a VM believes of one engine.
type engine struct {
	instance *fleet.Instance
	versions map[string]int64
	inflight int
	// others is the load that other VMs put on the engine when it last spoke.
	others   int
	othersAt time.Time
	// pace is the time of one event, measured last at pacedAt.
	pace    time.Duration
	pacedAt time.Time
	// blocked is until when requests of a model are not sent.
	blocked  map[string]time.Time
	failures int
	until    time.Time // not used before
}

// room is the number of requests that this VM may still send.
func (e *engine) room(now time.Time) int {
	n := e.instance.Slots - e.inflight
	if now.Sub(e.othersAt) < loadTTL {
		n -= e.others
	}
	return n
}

// engines is what a VM believes of all engines. It does no I/O.
type engines struct {
	by map[fleet.Key]*engine
}

func newEngines() *engines { return &engines{by: map[fleet.Key]*engine{}} }

// update takes the registered instances.
func (s *engines) update(instances []*fleet.Instance) {
	seen := make(map[fleet.Key]bool, len(instances))
	for _, in := range instances {
		seen[in.Key()] = true
		e := s.by[in.Key()]
		if e == nil {
			e = &engine{versions: map[string]int64{}, blocked: map[string]time.Time{}, pace: s.typicalPace(in.Pool)}
			s.by[in.Key()] = e
		}
		e.instance = in
		for m, v := range in.Versions {
			e.versions[m] = max(e.versions[m], v)
		}
	}
	for k := range s.by {
		if !seen[k] {
			delete(s.by, k)
		}
	}
}

// typicalPace is the mean pace of a pool.
func (s *engines) typicalPace(pool string) time.Duration {
	sum, n := time.Duration(0), 0
	for _, e := range s.by {
		if e.instance.Pool == pool && e.pace > 0 {
			sum += e.pace
			n++
		}
	}
	if n == 0 {
		return initialPace
	}
	return sum / time.Duration(n)
}

func (s *engines) get(in *fleet.Instance) *engine { return s.by[in.Key()] }

// started counts a request that is sent.
func (s *engines) started(in *fleet.Instance) {
	if e := s.get(in); e != nil {
		e.inflight++
	}
}

// ended counts a request that has left.
func (s *engines) ended(in *fleet.Instance) {
	if e := s.get(in); e != nil {
		e.inflight = max(0, e.inflight-1)
	}
}

// loaded takes an engine's word on its load.
func (s *engines) loaded(now time.Time, in *fleet.Instance, l *targets.Load) {
	if e := s.get(in); e != nil && l != nil {
		e.others, e.othersAt = max(0, l.Running+l.Waiting-e.inflight), now
	}
}

// versioned takes the version that an engine was seen to run.
func (s *engines) versioned(in *fleet.Instance, model string, v int64) {
	if e := s.get(in); e != nil && v > 0 {
		e.versions[model] = max(e.versions[model], v)
	}
}

// paced takes the time between two events.
func (s *engines) paced(now time.Time, in *fleet.Instance, d time.Duration) {
	if e := s.get(in); e != nil {
		e.failures, e.pacedAt = 0, now
		e.pace += time.Duration(paceGain * float64(d-e.pace))
	}
}

// currentPace is the engine's pace, which nears the best one while nothing is measured.
func (e *engine) currentPace(now time.Time, best time.Duration) time.Duration {
	age := now.Sub(e.pacedAt)
	if e.pacedAt.IsZero() || e.pace <= best || age <= 0 {
		return e.pace
	}
	left := max(0, 1-float64(age)/float64(paceMemory))
	return best + time.Duration(left*float64(e.pace-best))
}

// block keeps new requests of a model off an engine until a time.
func (s *engines) block(in *fleet.Instance, model string, until time.Time) {
	if e := s.get(in); e != nil {
		e.blocked[model] = until
	}
}

// unversioned takes back the version that an engine was believed to run.
func (s *engines) unversioned(in *fleet.Instance, model string, v int64) {
	if e := s.get(in); e != nil {
		e.versions[model] = v
	}
}

// failed keeps new requests off an engine that broke a request off.
func (s *engines) failed(now time.Time, in *fleet.Instance) {
	if e := s.get(in); e != nil {
		e.until = now.Add(min(coolMax, coolMin<<min(e.failures, 8)))
		e.failures++
	}
}

// bestPace is the shortest pace among a pool's engines.
func (s *engines) bestPace(pool string) time.Duration {
	best := time.Duration(0)
	for _, e := range s.by {
		if e.instance.Pool == pool && (best == 0 || e.pace < best) {
			best = e.pace
		}
	}
	return best
}
