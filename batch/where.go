package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/promptcache"
)

// WhereItem describes an item whose engine is to be explained.
type WhereItem struct {
	Model      string
	MinVersion int64
	Prompt     []promptcache.Part
	// ExpectedTokens is the expected output in tokens; 0 if unknown.
	ExpectedTokens int
}

// Placement explains where an item that was submitted now would run.
type Placement struct {
	// Partition is that of the pool. Held is set if this VM runs its items; another VM knows nothing of their load.
	Partition int  `json:"partition"`
	Held      bool `json:"held"`
	// Target is the engine; empty if the item would wait.
	Target string `json:"target,omitempty"`
	// ReadingRate is the assumed rate at which the engines read prompts, in tokens a millisecond.
	ReadingRate float64 `json:"reading_rate"`
	// PromptTokens is the number of tokens of the item's prompt; 0 if its parts are unknown.
	PromptTokens int               `json:"prompt_tokens"`
	Engines      []EngineCandidate `json:"engines"`
}

// EngineCandidate is an engine with the inputs of the choice. Ages are in milliseconds and -1 if there was no report.
type EngineCandidate struct {
	Target           string `json:"target"`
	AvailabilityZone string `json:"az"`
	// Excluded is why the engine does not get the item; otherwise the lowest cost decides.
	Excluded string  `json:"excluded,omitempty"`
	Cost     float64 `json:"cost"`
	// Running is the number of this VM's requests, OtherRunning that of others in the last report.
	Running       int              `json:"running"`
	OtherRunning  int              `json:"other_running"`
	ReportAgeMs   int64            `json:"report_age_ms"`
	FreeSlots     int              `json:"free_slots"`
	Slots         int              `json:"slots"`
	IntervalMs    int64            `json:"interval_ms"`
	WorkPercent   int              `json:"work_percent,omitempty"`
	WorkAgeMs     int64            `json:"work_age_ms"`
	HeldTokens    int              `json:"held_tokens"`
	FreeMemory    int              `json:"free_memory_tokens"`
	MemoryTokens  int              `json:"memory_tokens"`
	RateLimited   bool             `json:"rate_limited"`
	Leaving       bool             `json:"leaving"`
	Versions      map[string]int64 `json:"versions,omitempty"`
	FailuresInRow int              `json:"failures"`
}

// Where explains where an item of a batch on a route would run now. It sends nothing and changes nothing. pool is the route's pool.
func (s *Service) Where(now time.Time, route *fleet.Route, pool *fleet.Pool, item WhereItem) Placement {
	p := s.partitionOf(pool.Name)
	p.mu.Lock()
	out := Placement{Partition: p.id.Index, Held: p.owned}
	p.mu.Unlock()
	s.runner.where(now, route, pool, item, &out)
	return out
}

func (r *runner) where(now time.Time, route *fleet.Route, pool *fleet.Pool, item WhereItem, out *Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := &job{
		head: &Head{Model: item.Model, MinVersion: item.MinVersion}, item: &Item{ExpectedTokens: item.ExpectedTokens},
		prompt: promptcache.NewPrompt(item.Model, item.Prompt),
	}
	t := &task{job: j, route: route, deadline: now.Add(route.RunDeadline), tokensPerEvent: tokensPerEvent(pool)}
	req := requirements{pool: pool.Name, model: item.Model, minVersion: item.MinVersion, az: r.az}
	r.setPrompt(&req, now, t)
	c := r.candidates(now, pool.Name)
	out.ReadingRate = c.tokensPerMs
	if j.prompt != nil {
		out.PromptTokens = j.prompt.Tokens()
	}
	if e := c.choose(req); e != nil {
		out.Target = e.instance.Name
	}
	for _, e := range r.engines.byKey {
		if e.instance.Pool == pool.Name {
			out.Engines = append(out.Engines, r.engineCandidate(c, e, req, j.prompt))
		}
	}
	slices.SortFunc(out.Engines, func(a, b EngineCandidate) int { return cmp.Compare(a.Target, b.Target) })
}

// engineCandidate returns the inputs of the choice for one engine.
func (r *runner) engineCandidate(c *candidates, e *engine, req requirements, prompt *promptcache.Prompt) EngineCandidate {
	out := EngineCandidate{
		Target: e.instance.Name, AvailabilityZone: e.instance.AvailabilityZone, Excluded: r.engines.unavailable(c.now, e), Cost: c.cost(e, req),
		Running: e.inflight, OtherRunning: e.otherLoad, ReportAgeMs: ageMs(c.now, e.otherLoadAt), FreeSlots: e.freeSlots(c.now), Slots: e.instance.Slots,
		IntervalMs: e.expectedInterval(c.now, c.shortestInterval).Milliseconds(), WorkPercent: int(e.workFigure.percent), WorkAgeMs: ageMs(c.now, e.workFigure.reportedAt),
		FreeMemory: e.memoryTokens, MemoryTokens: e.memoryTokens, RateLimited: r.limiter.Limited(e.instance), Leaving: r.engines.states.Draining(e.instance),
		Versions: maps.Clone(e.versions), FailuresInRow: e.failures,
	}
	if out.Excluded == "" {
		out.Excluded = c.excluded(e, req)
	}
	if e.prompts != nil {
		out.FreeMemory = e.prompts.Free()
	}
	if prompt != nil {
		out.HeldTokens = e.heldTokens(c.now, prompt)
	}
	return out
}

// ageMs returns the time since at in milliseconds, or -1 if at is zero.
func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
