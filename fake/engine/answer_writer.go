package engine

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/trial"
)

// splitBytes is the size of the writes under the SplitWrites fault.
const splitBytes = 7

// format is a response format of OpenAI's API.
type format interface {
	// object returns the response object of a chunk; first marks the first chunk of an answer, stream an event of a stream.
	object(c trial.CompletionChunk, first, stream bool) any
}

// completionFormat is the response format of /v1/completions.
type completionFormat struct{ model string }

func (f completionFormat) object(c trial.CompletionChunk, _, _ bool) any {
	c.Object, c.Model = "text_completion", f.model
	return c
}

// answerWriter sends the answer of one sequence.
type answerWriter struct {
	e           *Engine
	w           http.ResponseWriter
	r           *http.Request
	source      *reader
	format      format
	boot        string
	created     int64
	id          string
	crossAnswer bool // the CrossAnswers fault applies
	first       bool
	sentTokens  int
}

// chunk returns the chunk of an answer with the tokens of p; finish is empty unless it is the last one.
func (a *answerWriter) chunk(p answerPart, finish string) trial.CompletionChunk {
	id, tokens := a.id, p.tokens
	if a.crossAnswer {
		id, tokens = "other-"+a.id, otherTokens(tokens)
	}
	c := trial.CompletionChunk{ID: id, Created: a.created, Boot: a.boot, WeightVersion: p.version,
		Choices: []trial.CompletionChoice{{Text: answer.Text(tokens), TokenIDs: append([]int{}, tokens...), Offset: p.offset}}}
	if finish != "" {
		c.Choices[0].FinishReason = &finish
		c.Usage = a.source.usage()
	}
	if a.e.Faults().HideVersion {
		c.WeightVersion = 0
	}
	return c
}

// otherTokens returns tokens that differ from tokens at each index, as those of another request.
func otherTokens(tokens []int) []int {
	out := make([]int, len(tokens))
	for i, t := range tokens {
		out[i] = (t + 1) % answer.VocabularySize
	}
	return out
}

// sendStream sends an SSE event with each batch of new tokens, and the end marker after the last one.
func (a *answerWriter) sendStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	a.flush()
	a.abortAt(PointHeaders)
	a.first = true
	cut := a.e.takeFault(func(f *Faults) *int { return &f.CutStreams })
	for {
		p, ok := a.source.wait(a.r.Context())
		if !ok {
			return
		}
		if p.finish == finishCrash {
			faults.Abort()
		}
		a.sendParts(p)
		if cut && (a.sentTokens >= a.e.Faults().CutAfterTokens || p.finish != "") {
			a.endWithoutMarker()
			return
		}
		if p.finish != "" {
			a.writeEndMarker(p.finish)
			return
		}
	}
}

// sendParts writes an event for each part of p; the last one carries the finish reason.
func (a *answerWriter) sendParts(p progress) {
	parts := p.parts
	if p.finish != "" && len(parts) == 0 {
		parts = []answerPart{{offset: p.next}}
	}
	for i, pt := range parts {
		finish := ""
		if i == len(parts)-1 {
			finish = p.finish
		}
		a.writeEvent(a.format.object(a.chunk(pt, finish), a.first, true))
		a.first = false
		a.sentTokens += len(pt.tokens)
		a.abortAt(PointFirstToken)
	}
}

// writeEndMarker writes the end marker, except after an aborted answer.
func (a *answerWriter) writeEndMarker(reason string) {
	a.abortAt(PointLastToken)
	if reason != trial.FinishAbort {
		a.write([]byte("data: [DONE]\n\n"))
	}
}

// endWithoutMarker ends the stream without an end marker, by a reset unless CutClean is set.
func (a *answerWriter) endWithoutMarker() {
	if !a.e.Faults().CutClean {
		faults.Abort()
	}
}

func (a *answerWriter) abortAt(p Point) {
	if a.e.takeDieFault(p) {
		faults.Abort()
	}
}

func (a *answerWriter) writeEvent(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		faults.Abort()
	}
	a.write(append(append([]byte("data: "), raw...), "\n\n"...))
}

// write sends and flushes b, in pieces of splitBytes if SplitWrites is set.
func (a *answerWriter) write(b []byte) {
	if !a.e.Faults().SplitWrites {
		_, _ = a.w.Write(b) // fails only if the client has disconnected
		a.flush()
		return
	}
	for len(b) > 0 {
		n := min(splitBytes, len(b))
		_, _ = a.w.Write(b[:n]) // fails only if the client has disconnected
		a.flush()
		b = b[n:]
	}
}

func (a *answerWriter) flush() { _ = http.NewResponseController(a.w).Flush() } // fails only if the client has disconnected

// sendWhole waits for the end of the sequence and sends the answer as one object.
func (a *answerWriter) sendWhole() {
	var wholeAnswer answerPart
	var spans []trial.WeightSpan
	finish := ""
	for finish == "" {
		p, ok := a.source.wait(a.r.Context())
		if !ok {
			return
		}
		for _, pt := range p.parts {
			if len(wholeAnswer.tokens) == 0 {
				wholeAnswer.offset = pt.offset
			}
			wholeAnswer.tokens = append(wholeAnswer.tokens, pt.tokens...)
			wholeAnswer.version = pt.version
			spans = addSpan(spans, pt)
		}
		finish = p.finish
	}
	if finish == finishCrash {
		faults.Abort()
	}
	a.abortAt(PointFirstToken)
	c := a.chunk(wholeAnswer, finish)
	if c.WeightVersion != 0 {
		c.WeightSpans = spans
	}
	a.writeBody(a.format.object(c, true, false))
}

// addSpan adds the tokens of p to the last span if it has the same weight version, or else as a new span.
func addSpan(spans []trial.WeightSpan, p answerPart) []trial.WeightSpan {
	if n := len(spans); n > 0 && spans[n-1].Version == p.version {
		spans[n-1].Tokens += len(p.tokens)
		return spans
	}
	return append(spans, trial.WeightSpan{Version: p.version, Tokens: len(p.tokens)})
}

// writeBody sends the object of a whole answer; under a DieAt fault at PointLastToken it sends all but the last byte.
func (a *answerWriter) writeBody(v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		faults.Abort()
	}
	raw = bytes.TrimSpace(raw)
	a.w.Header().Set("Content-Type", "application/json")
	if a.e.takeDieFault(PointLastToken) {
		_, _ = a.w.Write(raw[:len(raw)-1]) // fails only if the client has disconnected
		a.flush()
		faults.Abort()
	}
	_, _ = a.w.Write(raw) // fails only if the client has disconnected
}
