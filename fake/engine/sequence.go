package engine

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/trial"
)

// ModelName returns the name under which package answer makes tokens of a model with an adapter.
func ModelName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "+" + adapter
}

func newSequence(req *trial.CompletionRequest) *sequence {
	name := ModelName(req.Model, req.Adapter)
	if req.RequestID == "" {
		req.RequestID = uuid.NewString()
	}
	return &sequence{
		id: req.RequestID, model: name, prompt: req.Prompt, seed: req.Seed, priority: req.Priority,
		length: max(len(req.PrefixTokens), answer.Length(name, req.Prompt, req.Seed, req.MaxTokens)), maximum: req.MaxTokens,
		promptTokens: answer.PromptTokens(req.Prompt), prefix: len(req.PrefixTokens), tokens: slices.Clone(req.PrefixTokens),
		waiters: map[chan struct{}]bool{},
	}
}

// part is a piece of a sequence's answer that one weight version made.
type part struct {
	offset  int
	tokens  []int
	version int64
}

// progress is what a reader of a sequence sees.
type progress struct {
	parts  []part
	next   int // index after the last token
	finish string
}

// reader follows one sequence.
type reader struct {
	e    *Engine
	s    *sequence
	news chan struct{}
	next int
}

// attach returns a reader of s from token index from on; close it.
func (e *Engine) attach(s *sequence, from int) *reader {
	r := &reader{e: e, s: s, news: make(chan struct{}, 1), next: max(from, s.prefix)}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.waiters[r.news] = true
	s.detached = time.Time{}
	return r
}

// close detaches the reader; a sequence without readers is aborted after a while.
func (r *reader) close() {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	delete(r.s.waiters, r.news)
	if len(r.s.waiters) == 0 {
		r.s.detached = time.Now()
	}
}

// wait returns the next tokens, or the end; ok is false when ctx ended first.
func (r *reader) wait(ctx context.Context) (p progress, ok bool) {
	for {
		p = r.read()
		if len(p.parts) > 0 || p.finish != "" {
			return p, true
		}
		select {
		case <-r.news:
		case <-ctx.Done():
			return p, false
		}
	}
}

// read takes what is there, split where the weight version changes.
func (r *reader) read() progress {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	s := r.s
	p := progress{finish: s.finish}
	for i := r.next; i < len(s.tokens); i++ {
		v := s.versions[i-s.prefix]
		if n := len(p.parts); n == 0 || p.parts[n-1].version != v {
			p.parts = append(p.parts, part{offset: i, version: v})
		}
		last := &p.parts[len(p.parts)-1]
		last.tokens = append(last.tokens, s.tokens[i])
	}
	r.next = max(r.next, len(s.tokens))
	p.next = r.next
	return p
}

// usage counts the tokens of a sequence.
func (r *reader) usage() *trial.Usage {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	s := r.s
	return &trial.Usage{
		PromptTokens: s.promptTokens, CompletionTokens: len(s.tokens), TotalTokens: s.promptTokens + len(s.tokens),
		CachedTokens: s.cached,
	}
}
