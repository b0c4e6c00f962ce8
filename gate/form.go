package gate

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/ibistrail/ibistrail/trial"
)

// form shapes answers as one of OpenAI's objects.
type form interface {
	whole(id string, a ask, res *dispatch.Result) any
	chunk(id string, a ask, p dispatch.Piece, first bool, finish *string, usage *trial.Usage) any
}

// head is what all of OpenAI's answer objects begin with.
type head struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Usage   *trial.Usage `json:"usage,omitempty"`
	// WeightVersion made the tokens of a chunk; 0 means unreported.
	WeightVersion int64 `json:"weight_version,omitempty"`
	// Spans are the versions of a whole answer.
	Spans []api.Span `json:"spans,omitempty"`
}

func newHead(id, object string, a ask) head {
	return head{ID: id, Object: object, Created: time.Now().Unix(), Model: a.model}
}

func usageOf(res *dispatch.Result) *trial.Usage {
	return &trial.Usage{
		PromptTokens: res.PromptTokens, CompletionTokens: len(res.Tokens), TotalTokens: res.PromptTokens + len(res.Tokens),
		CachedTokens: res.CachedTokens,
	}
}

// textForm shapes /v1/completions.
type textForm struct{}

type textAnswer struct {
	head
	Choices []textChoice `json:"choices"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	TokenIDs     []int   `json:"token_ids,omitempty"`
	LogProbs     *string `json:"logprobs"`
	FinishReason *string `json:"finish_reason"`
}

func (textForm) whole(id string, a ask, res *dispatch.Result) any {
	h := newHead(id, "text_completion", a)
	h.Usage, h.Spans = usageOf(res), res.Spans
	return textAnswer{head: h, Choices: []textChoice{{Text: res.Text, TokenIDs: res.Tokens, FinishReason: &res.FinishReason}}}
}

func (textForm) chunk(id string, a ask, p dispatch.Piece, _ bool, finish *string, usage *trial.Usage) any {
	h := newHead(id, "text_completion", a)
	h.WeightVersion, h.Usage = p.Version, usage
	if usage != nil {
		return textAnswer{head: h, Choices: []textChoice{}}
	}
	return textAnswer{head: h, Choices: []textChoice{{Text: p.Text, TokenIDs: p.Tokens, FinishReason: finish}}}
}

// chatForm shapes /v1/chat/completions.
type chatForm struct{}

type chatAnswer struct {
	head
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

func (chatForm) whole(id string, a ask, res *dispatch.Result) any {
	h := newHead(id, "chat.completion", a)
	h.Usage, h.Spans = usageOf(res), res.Spans
	return chatAnswer{head: h, Choices: []chatChoice{{Message: &chatReply{Role: "assistant", Content: res.Text}, TokenIDs: res.Tokens, FinishReason: &res.FinishReason}}}
}

func (chatForm) chunk(id string, a ask, p dispatch.Piece, first bool, finish *string, usage *trial.Usage) any {
	h := newHead(id, "chat.completion.chunk", a)
	h.WeightVersion, h.Usage = p.Version, usage
	if usage != nil {
		return chatAnswer{head: h, Choices: []chatChoice{}}
	}
	d := &chatReply{Content: p.Text}
	if first {
		d.Role = "assistant"
	}
	return chatAnswer{head: h, Choices: []chatChoice{{Delta: d, TokenIDs: p.Tokens, FinishReason: finish}}}
}

// sender writes a streamed answer.
type sender struct {
	w       http.ResponseWriter
	conn    *http.ResponseController
	ask     ask
	id      string
	started bool
	broken  bool
}

func newSender(w http.ResponseWriter, a ask, id string) *sender {
	return &sender{w: w, conn: http.NewResponseController(w), ask: a, id: id}
}

func (s *sender) start() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Trailer", api.HeaderOutcome+", "+api.HeaderSpans)
	s.w.WriteHeader(http.StatusOK)
	s.started = true
}

// piece sends one piece; false means that the caller has gone.
func (s *sender) piece(p dispatch.Piece) bool {
	if s.broken {
		return false
	}
	first := !s.started
	if first {
		s.start()
	}
	return s.event(s.ask.form.chunk(s.id, s.ask, p, first, nil, nil))
}

// end sends the finish reason and the end marker, or the error that broke the stream off, which
// then has no end marker.
func (s *sender) end(res *dispatch.Result, err *api.Error) {
	if !s.started {
		s.start()
	}
	if err != nil {
		s.event(api.ErrorBody{Error: err})
		s.w.Header().Set(api.HeaderOutcome, string(err.Outcome))
		return
	}
	s.event(s.ask.form.chunk(s.id, s.ask, dispatch.Piece{}, false, &res.FinishReason, nil))
	if s.ask.usage {
		s.event(s.ask.form.chunk(s.id, s.ask, dispatch.Piece{}, false, nil, usageOf(res)))
	}
	s.write([]byte("data: [DONE]\n\n"))
	if spans, merr := json.Marshal(res.Spans); merr == nil {
		s.w.Header().Set(api.HeaderSpans, string(spans))
	}
	s.w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
}

func (s *sender) event(v any) bool {
	raw, err := json.Marshal(v)
	if err != nil {
		s.broken = true
		return false
	}
	return s.write(append(append([]byte("data: "), raw...), "\n\n"...))
}

// write sends b within the time that a reading caller takes.
func (s *sender) write(b []byte) bool {
	if s.broken {
		return false
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a connection without deadlines is a test's
	_, err := s.w.Write(b)
	if err == nil {
		err = s.conn.Flush()
	}
	s.broken = err != nil
	return !s.broken
}
