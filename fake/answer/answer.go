// Package answer generates the answers of stand-in engines. They are a pure function of the request
// and of the weight version of each token, so that a checker can verify to which request an answer
// belongs and which weight version generated it.
package answer

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The vocabulary: the text of a token is a space and three syllables.
const (
	consonants = "bcdfghjklmnpqrst"
	vowels     = "aeio"
	syllables  = len(consonants) * len(vowels)
	// VocabularySize is the number of tokens; IDs are below it.
	VocabularySize = syllables * syllables * syllables
	// TokenBytes is the length of each token's text, in bytes.
	TokenBytes = 7
	// PromptBytesPerToken is the number of bytes of a prompt that count as one token.
	PromptBytesPerToken = 4
)

// Distribution of answer lengths: stragglerPercent of the answers run to max_tokens, the others have a length between
// shortestPercent and longestPercent of it.
const (
	stragglerPercent = 5
	shortestPercent  = 20
	longestPercent   = 60
)

// Token returns the token at an index of the answer of a model in a weight version to a prompt.
func Token(model, prompt string, seed int64, version int64, index int) int {
	return int(hash("token", model, prompt, seed, version, int64(index)) % uint64(VocabularySize))
}

// Length returns the number of tokens of the whole answer, between 1 and maxTokens.
func Length(model, prompt string, seed int64, maxTokens int) int {
	h := hash("length", model, prompt, seed)
	if h%100 < stragglerPercent {
		return max(1, maxTokens)
	}
	percent := shortestPercent + (h>>32)%(longestPercent-shortestPercent)
	return max(1, maxTokens*int(percent)/100)
}

// Text returns the text of tokens.
func Text(tokens []int) string {
	var b strings.Builder
	b.Grow(TokenBytes * len(tokens))
	for _, t := range tokens {
		b.WriteByte(' ')
		for _, s := range []int{t / (syllables * syllables) % syllables, t / syllables % syllables, t % syllables} {
			b.WriteByte(consonants[s/len(vowels)])
			b.WriteByte(vowels[s%len(vowels)])
		}
	}
	return b.String()
}

// Tokens parses a text that Text returned.
func Tokens(text string) ([]int, error) {
	if len(text)%TokenBytes != 0 {
		return nil, fmt.Errorf("text of %d bytes is not a whole number of tokens", len(text))
	}
	tokens := make([]int, 0, len(text)/TokenBytes)
	for ; text != ""; text = text[TokenBytes:] {
		t := 0
		for i := 1; i < TokenBytes; i += 2 {
			c, v := strings.IndexByte(consonants, text[i]), strings.IndexByte(vowels, text[i+1])
			if c < 0 || v < 0 || text[0] != ' ' {
				return nil, fmt.Errorf("%q is not a token", text[:TokenBytes])
			}
			t = t*syllables + c*len(vowels) + v
		}
		tokens = append(tokens, t)
	}
	return tokens, nil
}

// Score returns the score of a sample by the stand-in scoring service, between 0 and 1.
func Score(prompt, text string) float64 {
	return float64(hash("score", prompt, text)%1000) / 1000
}

// PromptTokens returns the number of tokens of prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + PromptBytesPerToken - 1) / PromptBytesPerToken
}

// Message is one chat message in OpenAI's format.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that an engine continues for a chat.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	b.WriteString("assistant:")
	return b.String()
}

// hash hashes parts, which must be of type string or int64; the hash covers the length of each string.
func hash(parts ...any) uint64 {
	d := xxhash.New()
	var n [8]byte
	for _, p := range parts {
		switch v := p.(type) {
		case string:
			binary.LittleEndian.PutUint64(n[:], uint64(len(v)))
			_, _ = d.Write(n[:])
			_, _ = d.WriteString(v)
		case int64:
			binary.LittleEndian.PutUint64(n[:], uint64(v))
			_, _ = d.Write(n[:])
		}
	}
	return d.Sum64()
}
