package dispatch

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/trial"
)

// Errors in the stream of an answer.
var (
	errWrongRequest    = errors.New("a chunk belongs to another request")
	errMissingTokens   = errors.New("tokens are missing")
	errAborted         = errors.New("the engine aborted the run")
	errEngineRestarted = errors.New("the engine has restarted")
)

// answer collects the answer to a request across attempts. Each chunk is validated before it is added.
type answer struct {
	text         strings.Builder
	tokens       []int
	spans        []api.Span
	finishReason string
	promptTokens int
	cachedTokens int
	onTokens     func(Piece)
}

func newAnswer(c *Call) *answer {
	a := &answer{onTokens: c.OnTokens}
	a.text.WriteString(c.Text)
	a.tokens = append(a.tokens, c.Tokens...)
	a.spans = append(a.spans, c.Spans...)
	return a
}

// add validates and appends a chunk of attempt id from the engine at address. boot is the engine's boot ID, or
// empty while unknown. The error is errWrongRequest, errEngineRestarted, errMissingTokens or errAborted.
func (a *answer) add(id, address, boot string, c *trial.CompletionChunk) error {
	if c.ID != id && c.ID != "cmpl-"+id {
		return fmt.Errorf("%w: got %q", errWrongRequest, c.ID)
	}
	if boot != "" && c.Boot != "" && c.Boot != boot {
		return errEngineRestarted
	}
	if c.Usage != nil {
		a.promptTokens, a.cachedTokens = c.Usage.PromptTokens, c.Usage.CachedTokens
	}
	for i := range c.Choices {
		if err := a.addChoice(address, c.WeightVersion, &c.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *answer) addChoice(address string, version int64, c *trial.CompletionChoice) error {
	if len(c.TokenIDs) > 0 || c.Text != "" {
		if c.Offset != len(a.tokens) {
			return fmt.Errorf("%w: offset %d after %d tokens", errMissingTokens, c.Offset, len(a.tokens))
		}
		a.appendTokens(address, version, c)
	}
	if c.FinishReason == nil {
		return nil
	}
	if *c.FinishReason == trial.FinishAbort {
		return errAborted
	}
	a.finishReason = *c.FinishReason
	return nil
}

func (a *answer) appendTokens(address string, version int64, c *trial.CompletionChoice) {
	a.text.WriteString(c.Text)
	a.tokens = append(a.tokens, c.TokenIDs...)
	a.spans = appendSpan(a.spans, version, len(c.TokenIDs))
	if a.onTokens != nil {
		a.onTokens(Piece{Text: c.Text, Tokens: c.TokenIDs, Version: version, Engine: address})
	}
}

// endsUnversioned reports whether the last tokens came without a weight version.
func (a *answer) endsUnversioned() bool {
	return len(a.spans) > 0 && a.spans[len(a.spans)-1].Version == 0
}

func appendSpan(spans []api.Span, version int64, n int) []api.Span {
	if n == 0 {
		return spans
	}
	if last := len(spans); last > 0 && spans[last-1].Version == version {
		spans[last-1].Tokens += n
		return spans
	}
	return append(spans, api.Span{Version: version, Tokens: n})
}

func (a *answer) result(address string, attempts int) *Result {
	return &Result{
		Text: a.text.String(), Tokens: a.tokens, Spans: a.spans, FinishReason: a.finishReason,
		PromptTokens: a.promptTokens, CachedTokens: a.cachedTokens, Engine: address, Attempts: attempts,
	}
}
