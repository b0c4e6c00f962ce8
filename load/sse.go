package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// completion is what an OpenAI client reads of a completion, whole or one event of it.
type completion struct {
	Choices []struct {
		Text    string `json:"text"`
		Message *struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta *struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

func (c *completion) text() (string, error) {
	if len(c.Error) > 0 {
		return "", errors.New(string(c.Error))
	}
	if len(c.Choices) == 0 {
		return "", nil
	}
	ch := c.Choices[0]
	switch {
	case ch.Message != nil:
		return ch.Message.Content, nil
	case ch.Delta != nil:
		return ch.Delta.Content, nil
	}
	return ch.Text, nil
}

// readText reads a completion. A stream is whole with its end marker, any other answer with its last byte.
func readText(resp *http.Response, stream bool) (text string, whole bool, err error) {
	if !stream {
		var c completion
		if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
			return "", false, err
		}
		text, err := c.text()
		return text, err == nil, err
	}
	var b strings.Builder
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return b.String(), false, err
		}
		piece, err := c.text()
		if err != nil {
			return b.String(), false, err
		}
		b.WriteString(piece)
	}
	if err := lines.Err(); err != nil && !errors.Is(err, io.EOF) {
		return b.String(), false, err
	}
	return b.String(), whole, nil
}
