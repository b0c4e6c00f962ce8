package engine

import (
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/trial"
)

// maxStep bounds the time that one step of the model covers, so that a frozen process makes no
// tokens for the time it slept.
const maxStep = 50 * time.Millisecond

// sequence is one request in the batch or before it.
type sequence struct {
	id       string
	model    string // with the adapter
	prompt   string
	seed     int64
	priority int
	arrived  int64 // order of arrival
	length   int   // tokens of the whole answer
	maximum  int

	promptTokens int
	cached       int
	prefill      float64 // tokens of prefill that are left
	kv           bool    // an imported KV cache replaces the prefill
	credit       float64 // decoded fraction of the next token
	prefix       int     // tokens that came with the request
	tokens       []int   // prefix included
	versions     []int64 // of tokens after the prefix
	finish       string  // empty while it runs
	detached     time.Time
	ended        time.Time
	waiters      map[chan struct{}]bool
	run          *Run
}

// done tells whether no more tokens follow.
func (s *sequence) done() bool { return s.finish != "" }

// wake tells the readers of the sequence that there is news.
func (s *sequence) wake() {
	for w := range s.waiters {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// end finishes the sequence.
func (s *sequence) end(now time.Time, reason string) {
	s.finish, s.ended = reason, now
	s.run.Finish = reason
	s.run.Tokens = len(s.tokens) - s.prefix
	s.wake()
}

// model is the pure part of the engine: continuous batching over sequences. It has no clock.
type model struct {
	rates    Rates
	version  int64
	cache    *prefixCache
	waiting  []*sequence // by priority, then arrival
	running  []*sequence
	held     bool // no sequence starts
	paused   bool // no sequence moves
	last     time.Time
	arrivals int64
	totals   Totals
	decoded  float64 // recent decode rate, tokens per second
}

func newModel(rates Rates, version int64) *model {
	return &model{rates: rates, version: version, cache: newPrefixCache(rates.CacheTokens)}
}

// idle tells whether a step would do nothing.
func (m *model) idle() bool { return len(m.waiting) == 0 && len(m.running) == 0 }

// submit queues s behind those of its priority.
func (m *model) submit(now time.Time, s *sequence) {
	if m.idle() {
		m.last = now
	}
	m.arrivals++
	s.arrived = m.arrivals
	i, _ := slices.BinarySearchFunc(m.waiting, s, func(a, b *sequence) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.arrived - b.arrived)
	})
	m.waiting = slices.Insert(m.waiting, i, s)
}

// step moves the model on to now, by elapsed time divided by slow; it returns the sequences that
// started.
func (m *model) step(now time.Time, slow float64) []*sequence {
	dt := min(now.Sub(m.last), maxStep).Seconds() / max(slow, 1)
	m.last = now
	if m.paused || dt <= 0 {
		return nil
	}
	started := m.start(now)
	m.prefill(dt)
	before := m.totals.DecodeTokens
	m.decode(now, dt)
	m.decoded += (float64(m.totals.DecodeTokens-before)/dt - m.decoded) * min(1, dt)
	m.retire()
	return started
}

// start moves waiting sequences into the batch.
func (m *model) start(now time.Time) []*sequence {
	if m.held {
		return nil
	}
	n := min(m.rates.BatchLimit-len(m.running), len(m.waiting))
	if n <= 0 {
		return nil
	}
	started := slices.Clone(m.waiting[:n])
	m.waiting = slices.Delete(m.waiting, 0, n)
	for _, s := range started {
		m.begin(now, s)
	}
	m.running = append(m.running, started...)
	return started
}

// begin sets how much prefill a sequence needs.
func (m *model) begin(now time.Time, s *sequence) {
	s.run.Started = true
	s.cached = m.cache.use(now, s.prompt)
	s.prefill = float64(s.promptTokens - s.cached + s.prefix)
	if s.kv {
		s.prefill = 0
	}
	s.run.PrefillTokens, s.run.CachedTokens = int(s.prefill), s.cached
	m.totals.PrefillTokens += int64(s.prefill)
	m.totals.CachedTokens += int64(s.cached)
}

// prefill shares the engine's prefill rate over the batch, the first come first served.
func (m *model) prefill(dt float64) {
	budget := dt * m.rates.PrefillTokensPerSecond
	for _, s := range m.running {
		n := min(budget, s.prefill)
		s.prefill -= n
		budget -= n
	}
}

// decode makes tokens for each sequence whose prefill is over; a fuller batch is slower for each.
func (m *model) decode(now time.Time, dt float64) {
	n := len(m.running)
	rate := m.rates.DecodeTokensPerSecond / (1 + m.rates.BatchSlowdown*float64(max(0, n-1)))
	for _, s := range m.running {
		if s.done() || s.prefill > 0 {
			continue
		}
		s.credit += dt * rate
		m.emit(now, s)
	}
}

func (m *model) emit(now time.Time, s *sequence) {
	grown := false
	for s.credit >= 1 && len(s.tokens) < s.length {
		s.credit--
		s.tokens = append(s.tokens, answer.Token(s.model, s.prompt, s.seed, m.version, len(s.tokens)))
		s.versions = append(s.versions, m.version)
		m.totals.DecodeTokens++
		grown = true
	}
	switch {
	case len(s.tokens) < s.length:
		if grown {
			s.wake()
		}
	case s.length < s.maximum:
		s.end(now, "stop")
	default:
		s.end(now, "length")
	}
}

// retire takes finished sequences out of the batch.
func (m *model) retire() {
	m.running = slices.DeleteFunc(m.running, (*sequence).done)
}

// abort ends s without its remaining tokens; what it made is wasted.
func (m *model) abort(now time.Time, s *sequence) {
	if s.done() {
		return
	}
	m.totals.AbortedTokens += int64(len(s.tokens) - s.prefix)
	s.end(now, trial.FinishAbort)
	m.waiting = slices.DeleteFunc(m.waiting, (*sequence).done)
	m.retire()
}

// swap changes the weights; caches of the old ones are dropped.
func (m *model) swap(now time.Time, version int64) {
	m.version = version
	m.cache.clear(now)
}
