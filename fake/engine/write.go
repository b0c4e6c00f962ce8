package engine

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/trial"
)

// splitBytes is the size of the pieces of a stream under the SplitWrites fault.
const splitBytes = 7

// format shapes a piece of an answer as one of OpenAI's objects.
type format interface {
	// shape returns the object of a piece; stream tells whether others may follow.
	shape(c trial.CompletionChunk, first, stream bool) any
}

// completionFormat answers /v1/completions.
type completionFormat struct{ model string }

func (f completionFormat) shape(c trial.CompletionChunk, _, _ bool) any {
	c.Object, c.Model = "text_completion", f.model
	return c
}

// answerWriter sends the answer of one sequence.
type answerWriter struct {
	e       *Engine
	w       http.ResponseWriter
	r       *http.Request
	rd      *reader
	format  format
	boot    string
	created int64
	id      string
	crossed bool // tokens of another request are sent in place of the own ones
	first   bool
	sent    int
}

// chunk returns the piece of an answer.
func (a *answerWriter) chunk(p part, finish string) trial.CompletionChunk {
	id, tokens := a.id, p.tokens
	if a.crossed {
		id, tokens = "other-"+a.id, otherTokens(tokens)
	}
	c := trial.CompletionChunk{ID: id, Created: a.created, Boot: a.boot, WeightVersion: p.version,
		Choices: []trial.CompletionChoice{{Text: answer.Text(tokens), TokenIDs: append([]int{}, tokens...), Offset: p.offset}}}
	if finish != "" {
		c.Choices[0].FinishReason = &finish
		c.Usage = a.rd.usage()
	}
	if a.e.Faults().HideVersion {
		c.WeightVersion = 0
	}
	return c
}

// otherTokens stand for the tokens of another request.
func otherTokens(tokens []int) []int {
	out := make([]int, len(tokens))
	for i, t := range tokens {
		out[i] = (t + 1) % answer.VocabularySize
	}
	return out
}

// stream sends SSE events as tokens come, and the end marker after a whole answer.
func (a *answerWriter) stream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	a.dieAt(PointHeaders)
	a.first = true
	cut := a.e.take(func(f *Faults) *int { return &f.CutStreams })
	for {
		p, ok := a.rd.wait(a.r.Context())
		if !ok {
			return
		}
		if p.finish == finishCrash {
			faults.Abort()
		}
		a.send(p)
		if cut && (a.sent >= a.e.Faults().CutAfterTokens || p.finish != "") {
			a.cut()
			return
		}
		if p.finish != "" {
			a.finish(p.finish)
			return
		}
	}
}

// send writes the pieces of p; the finish reason goes with the last of them.
func (a *answerWriter) send(p progress) {
	parts := p.parts
	if p.finish != "" && len(parts) == 0 {
		parts = []part{{offset: p.next}}
	}
	for i, pt := range parts {
		finish := ""
		if i == len(parts)-1 {
			finish = p.finish
		}
		a.event(a.format.shape(a.chunk(pt, finish), a.first, true))
		a.first = false
		a.sent += len(pt.tokens)
		a.dieAt(PointFirstToken)
	}
}

// finish writes the end marker; an aborted answer gets none.
func (a *answerWriter) finish(reason string) {
	a.dieAt(PointLastToken)
	if reason != trial.FinishAbort {
		a.write([]byte("data: [DONE]\n\n"))
	}
}

// cut ends the stream without an end marker.
func (a *answerWriter) cut() {
	if !a.e.Faults().CutClean {
		faults.Abort()
	}
}

func (a *answerWriter) dieAt(p Point) {
	if a.e.dies(p) {
		faults.Abort()
	}
}

func (a *answerWriter) event(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		faults.Abort()
	}
	a.write(append(append([]byte("data: "), raw...), "\n\n"...))
}

// write sends b and flushes it, in small pieces if the switch says so.
func (a *answerWriter) write(b []byte) {
	if !a.e.Faults().SplitWrites {
		_, _ = a.w.Write(b) // the reader has gone
		a.flush()
		return
	}
	for len(b) > 0 {
		n := min(splitBytes, len(b))
		_, _ = a.w.Write(b[:n]) // the reader has gone
		a.flush()
		b = b[n:]
	}
}

func (a *answerWriter) flush() { _ = http.NewResponseController(a.w).Flush() } // the reader has gone

// whole waits for the end and sends one object.
func (a *answerWriter) whole() {
	var all part
	var spans []trial.WeightSpan
	finish := ""
	for finish == "" {
		p, ok := a.rd.wait(a.r.Context())
		if !ok {
			return
		}
		for _, pt := range p.parts {
			if len(all.tokens) == 0 {
				all.offset = pt.offset
			}
			all.tokens = append(all.tokens, pt.tokens...)
			all.version = pt.version
			spans = addSpan(spans, pt)
		}
		finish = p.finish
	}
	if finish == finishCrash {
		faults.Abort()
	}
	a.dieAt(PointFirstToken)
	c := a.chunk(all, finish)
	if c.WeightVersion != 0 {
		c.WeightSpans = spans
	}
	a.body(a.format.shape(c, true, false))
}

func addSpan(spans []trial.WeightSpan, p part) []trial.WeightSpan {
	if n := len(spans); n > 0 && spans[n-1].Version == p.version {
		spans[n-1].Tokens += len(p.tokens)
		return spans
	}
	return append(spans, trial.WeightSpan{Version: p.version, Tokens: len(p.tokens)})
}

// body sends the object of an answer without stream, or all but its last byte.
func (a *answerWriter) body(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		faults.Abort()
	}
	raw = bytes.TrimSpace(raw)
	a.w.Header().Set("Content-Type", "application/json")
	if a.e.dies(PointLastToken) {
		_, _ = a.w.Write(raw[:len(raw)-1]) // the reader has gone
		a.flush()
		faults.Abort()
	}
	_, _ = a.w.Write(raw) // the reader has gone
}
