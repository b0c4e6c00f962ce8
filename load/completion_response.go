package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
)

// maxEventBytes limits the size of one server-sent event.
const maxEventBytes = 1 << 20

// completionResponse holds the fields of an OpenAI completion, or of one event of a streamed completion.
type completionResponse struct {
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

func (c *completionResponse) text() (string, error) {
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

// readText returns the text of a completion. A streamed completion is complete if it ended with the event [DONE], any
// other if its JSON body decodes.
func readText(resp *http.Response, stream bool) (text string, complete bool, err error) {
	if !stream {
		var c completionResponse
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
			complete = true
			continue
		}
		var c completionResponse
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
	return b.String(), complete, nil
}
