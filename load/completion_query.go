package load

import (
	"fmt"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/fake/answer"
)

// completionQuery holds the request parameters that determine an engine's answer.
type completionQuery struct {
	model, prompt string
	seed          int64
	maxTokens     int
}

// versionMismatch compares the tokens with those that the versions in spans would generate. It describes the first
// difference, or returns "" if there is none.
func (q completionQuery) versionMismatch(tokens []int, spans []api.Span) string {
	i := 0
	for _, sp := range spans {
		for range sp.Tokens {
			if i >= len(tokens) {
				return fmt.Sprintf("spans cover more than its %d tokens", len(tokens))
			}
			if want := answer.Token(q.model, q.prompt, q.seed, sp.Version, i); want != tokens[i] {
				return fmt.Sprintf("token %d is %d, version %d makes %d", i, tokens[i], sp.Version, want)
			}
			i++
		}
	}
	if i != len(tokens) {
		return fmt.Sprintf("spans cover %d of %d tokens", i, len(tokens))
	}
	return ""
}

// contentMismatch describes how the answer's length or text differs from the expected answer, or returns "" if they match.
func (q completionQuery) contentMismatch(tokens []int, text string) string {
	if want := answer.Length(q.model, q.prompt, q.seed, q.maxTokens); len(tokens) != want {
		return fmt.Sprintf("%d tokens, the whole answer has %d", len(tokens), want)
	}
	if text != answer.Text(tokens) {
		return "text and tokens differ"
	}
	return ""
}
