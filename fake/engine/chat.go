package engine

import (
	"net/http"

	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/trial"
)

// ChatRequest is the request body of PathChat: OpenAI's fields and the engine's extensions.
type ChatRequest struct {
	Model               string           `json:"model"`
	Messages            []answer.Message `json:"messages"`
	MaxTokens           int              `json:"max_tokens,omitempty"`
	MaxCompletionTokens int              `json:"max_completion_tokens,omitempty"`
	Seed                int64            `json:"seed,omitempty"`
	Stream              bool             `json:"stream,omitempty"`
	RequestID           string           `json:"request_id,omitempty"`
	Priority            int              `json:"priority,omitempty"`
	Adapter             string           `json:"adapter,omitempty"`
}

// ChatChunk is a response of PathChat: the whole answer or one event of a stream.
type ChatChunk struct {
	ID            string             `json:"id"`
	Object        string             `json:"object"`
	Created       int64              `json:"created"`
	Model         string             `json:"model"`
	Choices       []ChatChoice       `json:"choices"`
	Usage         *trial.Usage       `json:"usage,omitempty"`
	WeightVersion int64              `json:"weight_version,omitempty"`
	WeightSpans   []trial.WeightSpan `json:"weight_spans,omitempty"`
	Boot          string             `json:"boot,omitempty"`
}

// ChatChoice is the only choice of a ChatChunk; Delta is set in a stream, Message in a whole answer.
type ChatChoice struct {
	Index        int             `json:"index"`
	Message      *answer.Message `json:"message,omitempty"`
	Delta        *ChatDelta      `json:"delta,omitempty"`
	TokenIDs     []int           `json:"token_ids"`
	FinishReason *string         `json:"finish_reason"`
}

// ChatDelta is a piece of a message.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chatFormat is the response format of PathChat.
type chatFormat struct{ model string }

func (f chatFormat) object(c trial.CompletionChunk, first, stream bool) any {
	in := c.Choices[0]
	choice := ChatChoice{TokenIDs: in.TokenIDs, FinishReason: in.FinishReason}
	object := "chat.completion"
	if stream {
		object = "chat.completion.chunk"
		choice.Delta = &ChatDelta{Content: in.Text}
		if first {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Message = &answer.Message{Role: "assistant", Content: in.Text}
	}
	return ChatChunk{
		ID: c.ID, Object: object, Created: c.Created, Model: f.model, Choices: []ChatChoice{choice}, Usage: c.Usage,
		WeightVersion: c.WeightVersion, WeightSpans: c.WeightSpans, Boot: c.Boot,
	}
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	if e.takeDieFault(PointAccept) {
		faults.Abort()
	}
	var req ChatRequest
	if err := readBody(w, r, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	maxTokens := req.MaxTokens
	if req.MaxCompletionTokens > 0 {
		maxTokens = req.MaxCompletionTokens
	}
	e.serve(w, r, &trial.CompletionRequest{
		Model: req.Model, Prompt: answer.ChatPrompt(req.Messages), MaxTokens: maxTokens, Seed: req.Seed, Stream: req.Stream,
		RequestID: req.RequestID, Priority: req.Priority, Adapter: req.Adapter,
	}, chatFormat{model: req.Model})
}
