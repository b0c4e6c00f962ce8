package gate

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/ibistrail/ibistrail/trial"
)

// responseFormat builds the response objects of one OpenAI endpoint.
type responseFormat interface {
	// response returns the body of an answer that is not streamed.
	response(id string, params completionParams, res *dispatch.Result) any
	// chunk returns one event of a streamed answer. If usage is set, the event reports only the usage.
	chunk(id string, params completionParams, p dispatch.Piece, first bool, finishReason *string, usage *trial.Usage) any
}

// responseBase holds the fields that all response objects share.
type responseBase struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Usage   *trial.Usage `json:"usage,omitempty"`
	// WeightVersion is the version that generated the tokens of a chunk; 0 means that it was not reported.
	WeightVersion int64 `json:"weight_version,omitempty"`
	// Spans are the weight versions of an answer that is not streamed.
	Spans []api.Span `json:"spans,omitempty"`
}

func newResponseBase(id, object string, params completionParams) responseBase {
	return responseBase{ID: id, Object: object, Created: time.Now().Unix(), Model: params.model}
}

func tokenUsage(res *dispatch.Result) *trial.Usage {
	return &trial.Usage{
		PromptTokens: res.PromptTokens, CompletionTokens: len(res.Tokens), TotalTokens: res.PromptTokens + len(res.Tokens),
		CachedTokens: res.CachedTokens,
	}
}

// textFormat builds the responses of /v1/completions.
type textFormat struct{}

type textResponse struct {
	responseBase
	Choices []textChoice `json:"choices"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	TokenIDs     []int   `json:"token_ids,omitempty"`
	LogProbs     *string `json:"logprobs"`
	FinishReason *string `json:"finish_reason"`
}

func (textFormat) response(id string, params completionParams, res *dispatch.Result) any {
	base := newResponseBase(id, "text_completion", params)
	base.Usage, base.Spans = tokenUsage(res), res.Spans
	return textResponse{responseBase: base, Choices: []textChoice{{Text: res.Text, TokenIDs: res.Tokens, FinishReason: &res.FinishReason}}}
}

func (textFormat) chunk(id string, params completionParams, p dispatch.Piece, _ bool, finishReason *string, usage *trial.Usage) any {
	base := newResponseBase(id, "text_completion", params)
	base.WeightVersion, base.Usage = p.Version, usage
	if usage != nil {
		return textResponse{responseBase: base, Choices: []textChoice{}}
	}
	return textResponse{responseBase: base, Choices: []textChoice{{Text: p.Text, TokenIDs: p.Tokens, FinishReason: finishReason}}}
}

// chatFormat builds the responses of /v1/chat/completions.
type chatFormat struct{}

type chatResponse struct {
	responseBase
	Choices []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Message      *chatReply `json:"message,omitempty"`
	Delta        *chatReply `json:"delta,omitempty"`
	TokenIDs     []int      `json:"token_ids,omitempty"`
	LogProbs     *string    `json:"logprobs"`
	FinishReason *string    `json:"finish_reason"`
}

type chatReply struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (chatFormat) response(id string, params completionParams, res *dispatch.Result) any {
	base := newResponseBase(id, "chat.completion", params)
	base.Usage, base.Spans = tokenUsage(res), res.Spans
	return chatResponse{responseBase: base, Choices: []chatChoice{{Message: &chatReply{Role: "assistant", Content: res.Text}, TokenIDs: res.Tokens, FinishReason: &res.FinishReason}}}
}

func (chatFormat) chunk(id string, params completionParams, p dispatch.Piece, first bool, finishReason *string, usage *trial.Usage) any {
	base := newResponseBase(id, "chat.completion.chunk", params)
	base.WeightVersion, base.Usage = p.Version, usage
	if usage != nil {
		return chatResponse{responseBase: base, Choices: []chatChoice{}}
	}
	d := &chatReply{Content: p.Text}
	if first {
		d.Role = "assistant"
	}
	return chatResponse{responseBase: base, Choices: []chatChoice{{Delta: d, TokenIDs: p.Tokens, FinishReason: finishReason}}}
}

// streamWriter writes a streamed answer as server-sent events.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	params     completionParams
	id         string
	started    bool
	broken     bool
}

func newStreamWriter(w http.ResponseWriter, p completionParams, id string) *streamWriter {
	return &streamWriter{w: w, controller: http.NewResponseController(w), params: p, id: id}
}

// writeHeader sends the status line and headers, and announces the trailers that finish sets.
func (s *streamWriter) writeHeader() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", api.HeaderOutcome+", "+api.HeaderSpans)
	s.w.WriteHeader(http.StatusOK)
	s.started = true
}

// writePiece sends one piece. It returns false if the caller has disconnected.
func (s *streamWriter) writePiece(p dispatch.Piece) bool {
	if s.broken {
		return false
	}
	first := !s.started
	if first {
		s.writeHeader()
	}
	return s.writeEvent(s.params.format.chunk(s.id, s.params, p, first, nil, nil))
}

// finish sends the finish reason and the end marker. If err is set it sends the error instead, and the
// stream gets no end marker.
func (s *streamWriter) finish(res *dispatch.Result, err *api.Error) {
	if !s.started {
		s.writeHeader()
	}
	if err != nil {
		s.writeEvent(api.ErrorBody{Error: err})
		s.w.Header().Set(api.HeaderOutcome, string(err.Outcome))
		return
	}
	s.writeEvent(s.params.format.chunk(s.id, s.params, dispatch.Piece{}, false, &res.FinishReason, nil))
	if s.params.includeUsage {
		s.writeEvent(s.params.format.chunk(s.id, s.params, dispatch.Piece{}, false, nil, tokenUsage(res)))
	}
	s.write([]byte("data: [DONE]\n\n"))
	if spans, merr := json.Marshal(res.Spans); merr == nil {
		s.w.Header().Set(api.HeaderSpans, string(spans))
	}
	s.w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
}

// writeEvent sends v as the JSON data of one event. It returns false after a failed write.
func (s *streamWriter) writeEvent(v any) bool {
	raw, err := json.Marshal(v)
	if err != nil {
		s.broken = true
		return false
	}
	return s.write(append(append([]byte("data: "), raw...), "\n\n"...))
}

// write sends and flushes b within writeTimeout. It returns false after a failed write.
func (s *streamWriter) write(b []byte) bool {
	if s.broken {
		return false
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on test connections without deadlines
	_, err := s.w.Write(b)
	if err == nil {
		err = s.controller.Flush()
	}
	s.broken = err != nil
	return !s.broken
}
