package load

import (
	"fmt"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/fake/answer"
)

// question is what was asked of an engine.
type question struct {
	model, prompt string
	seed          int64
	maxTokens     int
}

// misversioned tells what is wrong with the versions that an answer names; empty means nothing.
func (q question) misversioned(tokens []int, spans []api.Span) string {
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

// partial tells what an answer lacks to be whole; empty means nothing.
func (q question) partial(tokens []int, text string) string {
	if want := answer.Length(q.model, q.prompt, q.seed, q.maxTokens); len(tokens) != want {
		return fmt.Sprintf("%d tokens, the whole answer has %d", len(tokens), want)
	}
	if text != answer.Text(tokens) {
		return "text and tokens differ"
	}
	return ""
}
