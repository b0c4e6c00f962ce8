package engine

import (
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/trial"
)

// maxStep bounds the time that one step of the model covers, so that a suspended process does not
// generate tokens for the time of its suspension.
const maxStep = 50 * time.Millisecond

// sequence is one request, waiting, in the batch or finished.
type sequence struct {
	id         string
	model      string // with the adapter
	prompt     string
	seed       int64
	priority   int
	arrivalSeq int64 // sequence number of arrival
	length     int   // tokens of the whole answer, prefix included
	maxTokens  int   // max_tokens of the request

	promptTokens     int
	cached           int
	remainingPrefill float64   // tokens
	kvImported       bool      // an imported KV cache replaces the prefill
	earnedTokens     float64   // fractional number of tokens decoded but not yet emitted
	prefixLength     int       // tokens that came with the request
	tokens           []int     // prefix included
	versions         []int64   // weight version of each token after the prefix
	finish           string    // empty while it runs
	detachedAt       time.Time // when the last reader closed; zero while there is a reader
	endedAt          time.Time
	readers          map[chan struct{}]bool
	run              *Run
}

// done reports whether the sequence has finished.
func (s *sequence) done() bool { return s.finish != "" }

// notifyReaders notifies the readers of the sequence of new tokens or of its end.
func (s *sequence) notifyReaders() {
	for w := range s.readers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// end finishes the sequence with a finish reason.
func (s *sequence) end(now time.Time, reason string) {
	s.finish, s.endedAt = reason, now
	s.run.Finish = reason
	s.run.Tokens = len(s.tokens) - s.prefixLength
	s.notifyReaders()
}

// model simulates continuous batching over sequences. It is deterministic: callers pass the time.
type model struct {
	rates      Rates
	version    int64
	cache      *prefixCache
	waiting    []*sequence // by priority, then arrival
	running    []*sequence
	startsHeld bool // waiting sequences do not start
	paused     bool // running sequences do not advance
	lastStep   time.Time
	arrivals   int64
	totals     Totals
	decodeRate float64 // recent decode rate, tokens per second
}

func newModel(rates Rates, version int64) *model {
	return &model{rates: rates, version: version, cache: newPrefixCache(rates.CacheTokens)}
}

// idle reports whether there are no waiting and no running sequences.
func (m *model) idle() bool { return len(m.waiting) == 0 && len(m.running) == 0 }

// submit queues s after the waiting sequences of the same priority.
func (m *model) submit(now time.Time, s *sequence) {
	if m.idle() {
		m.lastStep = now
	}
	m.arrivals++
	s.arrivalSeq = m.arrivals
	i, _ := slices.BinarySearchFunc(m.waiting, s, func(a, b *sequence) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.arrivalSeq - b.arrivalSeq)
	})
	m.waiting = slices.Insert(m.waiting, i, s)
}

// step advances the model to now, by the elapsed time divided by slow, and returns the sequences that
// it started.
func (m *model) step(now time.Time, slow float64) []*sequence {
	dt := min(now.Sub(m.lastStep), maxStep).Seconds() / max(slow, 1)
	m.lastStep = now
	if m.paused || dt <= 0 {
		return nil
	}
	started := m.start(now)
	m.prefill(dt)
	before := m.totals.DecodeTokens
	m.decode(now, dt)
	m.decodeRate += (float64(m.totals.DecodeTokens-before)/dt - m.decodeRate) * min(1, dt)
	m.retire()
	return started
}

// start moves waiting sequences into the free places of the batch.
func (m *model) start(now time.Time) []*sequence {
	if m.startsHeld {
		return nil
	}
	n := min(m.rates.BatchLimit-len(m.running), len(m.waiting))
	if n <= 0 {
		return nil
	}
	started := slices.Clone(m.waiting[:n])
	m.waiting = slices.Delete(m.waiting, 0, n)
	for _, s := range started {
		m.startPrefill(now, s)
	}
	m.running = append(m.running, started...)
	return started
}

// startPrefill computes how many prefill tokens a starting sequence needs.
func (m *model) startPrefill(now time.Time, s *sequence) {
	s.run.Started = true
	s.cached = m.cache.lookupAndFill(now, s.prompt)
	s.remainingPrefill = float64(s.promptTokens - s.cached + s.prefixLength)
	if s.kvImported {
		s.remainingPrefill = 0
	}
	s.run.PrefillTokens, s.run.CachedTokens = int(s.remainingPrefill), s.cached
	m.totals.PrefillTokens += int64(s.remainingPrefill)
	m.totals.CachedTokens += int64(s.cached)
}

// prefill spends dt seconds of the engine's prefill rate on the batch, in the order of start.
func (m *model) prefill(dt float64) {
	budget := dt * m.rates.PrefillTokensPerSecond
	for _, s := range m.running {
		n := min(budget, s.remainingPrefill)
		s.remainingPrefill -= n
		budget -= n
	}
}

// decode generates tokens for each sequence that has finished its prefill, over dt seconds. Each further running
// sequence slows all of them by BatchSlowdown.
func (m *model) decode(now time.Time, dt float64) {
	n := len(m.running)
	rate := m.rates.DecodeTokensPerSecond / (1 + m.rates.BatchSlowdown*float64(max(0, n-1)))
	for _, s := range m.running {
		if s.done() || s.remainingPrefill > 0 {
			continue
		}
		s.earnedTokens += dt * rate
		m.emit(now, s)
	}
}

// emit turns the earned tokens of s into tokens of its answer and ends s after its last token.
func (m *model) emit(now time.Time, s *sequence) {
	emitted := false
	for s.earnedTokens >= 1 && len(s.tokens) < s.length {
		s.earnedTokens--
		s.tokens = append(s.tokens, answer.Token(s.model, s.prompt, s.seed, m.version, len(s.tokens)))
		s.versions = append(s.versions, m.version)
		m.totals.DecodeTokens++
		emitted = true
	}
	switch {
	case len(s.tokens) < s.length:
		if emitted {
			s.notifyReaders()
		}
	case s.length < s.maxTokens:
		s.end(now, "stop")
	default:
		s.end(now, "length")
	}
}

// retire removes finished sequences from the batch.
func (m *model) retire() {
	m.running = slices.DeleteFunc(m.running, (*sequence).done)
}

// abort ends s early and counts the tokens that were generated for it as aborted.
func (m *model) abort(now time.Time, s *sequence) {
	if s.done() {
		return
	}
	m.totals.AbortedTokens += int64(len(s.tokens) - s.prefixLength)
	s.end(now, trial.FinishAbort)
	m.waiting = slices.DeleteFunc(m.waiting, (*sequence).done)
	m.retire()
}

// swap changes the weight version and clears the prefix cache, which belongs to the old one.
func (m *model) swap(now time.Time, version int64) {
	m.version = version
	m.cache.clear(now)
}
