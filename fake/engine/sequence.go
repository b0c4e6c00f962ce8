package engine

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/trial"
)

// ModelName returns the model name that package answer generates tokens with, for a model with an optional adapter.
func ModelName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "+" + adapter
}

// newSequence returns a sequence that starts with the prefix tokens of req. It gives req an ID if it has none.
func newSequence(req *trial.CompletionRequest) *sequence {
	name := ModelName(req.Model, req.Adapter)
	if req.RequestID == "" {
		req.RequestID = uuid.NewString()
	}
	return &sequence{
		id: req.RequestID, model: name, prompt: req.Prompt, seed: req.Seed, priority: req.Priority,
		length: max(len(req.PrefixTokens), answer.Length(name, req.Prompt, req.Seed, req.MaxTokens)), maxTokens: req.MaxTokens,
		promptTokens: answer.PromptTokens(req.Prompt), prefixLength: len(req.PrefixTokens), tokens: slices.Clone(req.PrefixTokens),
		readers: map[chan struct{}]bool{},
	}
}

// answerPart is a run of tokens of an answer that one weight version generated.
type answerPart struct {
	offset  int // index of the first token in the answer
	tokens  []int
	version int64
}

// progress holds the tokens that a reader has not read yet, and the finish reason.
type progress struct {
	parts  []answerPart
	next   int // index after the last token
	finish string
}

// reader reads the tokens of one sequence as they are generated.
type reader struct {
	e       *Engine
	s       *sequence
	updates chan struct{}
	next    int
}

// attach returns a reader of s that starts at token index from, but not before the end of the prefix. The caller must
// close it.
func (e *Engine) attach(s *sequence, from int) *reader {
	r := &reader{e: e, s: s, updates: make(chan struct{}, 1), next: max(from, s.prefixLength)}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers[r.updates] = true
	s.detachedAt = time.Time{}
	return r
}

// close detaches the reader; a sequence without readers is aborted after detachWindow.
func (r *reader) close() {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	delete(r.s.readers, r.updates)
	if len(r.s.readers) == 0 {
		r.s.detachedAt = time.Now()
	}
}

// wait returns the next tokens or the finish reason; ok is false if ctx is done first.
func (r *reader) wait(ctx context.Context) (p progress, ok bool) {
	for {
		p = r.read()
		if len(p.parts) > 0 || p.finish != "" {
			return p, true
		}
		select {
		case <-r.updates:
		case <-ctx.Done():
			return p, false
		}
	}
}

// read returns the available tokens without waiting, split where the weight version changes.
func (r *reader) read() progress {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	s := r.s
	p := progress{finish: s.finish}
	for i := r.next; i < len(s.tokens); i++ {
		v := s.versions[i-s.prefixLength]
		if n := len(p.parts); n == 0 || p.parts[n-1].version != v {
			p.parts = append(p.parts, answerPart{offset: i, version: v})
		}
		last := &p.parts[len(p.parts)-1]
		last.tokens = append(last.tokens, s.tokens[i])
	}
	r.next = max(r.next, len(s.tokens))
	p.next = r.next
	return p
}

// usage returns the token counts of the sequence.
func (r *reader) usage() *trial.Usage {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	s := r.s
	return &trial.Usage{
		PromptTokens: s.promptTokens, CompletionTokens: len(s.tokens), TotalTokens: s.promptTokens + len(s.tokens),
		CachedTokens: s.cached,
	}
}
