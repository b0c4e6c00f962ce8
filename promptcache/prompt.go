// Package promptcache estimates which parts of prompts an engine still holds in its memory, and weighs the time that an engine saves
// by not reading them again against the wait there and the cost to others. The estimate follows from what was sent to the engine. The
// package does no I/O and has no clock; it is not safe for concurrent use.
package promptcache

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt that other prompts may share.
type Part struct {
	// ID identifies the content of the part.
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Limits of the parts of a prompt; a prompt beyond them is treated as one without parts.
const (
	MaxParts      = 32
	MaxIDBytes    = 64
	MaxPartTokens = 1 << 20
)

// ParseParts parses the parts of a prompt in order, written as ID:TOKENS,... with hexadecimal IDs. It returns nil if they are malformed
// or exceed the limits.
func ParseParts(s string) []Part {
	if s == "" || len(s) > MaxParts*(MaxIDBytes+maxTokenDigits) {
		return nil
	}
	var parts []Part
	for field := range strings.SplitSeq(s, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
		n, err := strconv.Atoi(tokens)
		if err != nil || n <= 0 || n > MaxPartTokens || len(parts) == MaxParts || !isHexID(id) {
			return nil
		}
		parts = append(parts, Part{ID: strings.ToLower(id), Tokens: n})
	}
	return parts
}

// maxTokenDigits is the longest number of tokens with separators and spaces, in bytes.
const maxTokenDigits = 16

func isHexID(s string) bool {
	return s != "" && len(s) <= MaxIDBytes && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// Prompt is a sequence of parts that is looked up in caches. The last part is the request's own.
type Prompt struct {
	model string
	// keys identify the model and the parts up to each one, since an engine can use a part only if it holds all parts before it.
	keys   []uint64
	tokens []int
	// total is the number of tokens of all parts.
	total int
}

// NewPrompt returns the prompt with the given parts for a model, or nil if there are none or they exceed the limits.
func NewPrompt(model string, parts []Part) *Prompt {
	if len(parts) == 0 || len(parts) > MaxParts {
		return nil
	}
	p := &Prompt{model: model, keys: make([]uint64, len(parts)), tokens: make([]int, len(parts))}
	d := xxhash.New()
	write := func(s string) {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(len(s)))) // the length keeps "ab","c" and "a","bc" apart
		_, _ = d.WriteString(s)
	}
	write(model)
	for i, part := range parts {
		if part.ID == "" || len(part.ID) > MaxIDBytes || part.Tokens <= 0 || part.Tokens > MaxPartTokens {
			return nil
		}
		write(part.ID)
		p.keys[i], p.tokens[i] = d.Sum64(), part.Tokens
		p.total += part.Tokens
	}
	return p
}

// Tokens returns the number of tokens of the prompt.
func (p *Prompt) Tokens() int { return p.total }

// SharedTokens returns the number of tokens of the parts before the last, which other prompts may share.
func (p *Prompt) SharedTokens() int { return p.total - p.ownTokens() }

// ownTokens returns the number of tokens of the last part.
func (p *Prompt) ownTokens() int { return p.tokens[len(p.tokens)-1] }
