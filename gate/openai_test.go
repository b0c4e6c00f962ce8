package gate

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

func newOpenAIClient(n *testGate, token string, retries int) openai.Client {
	return openai.NewClient(option.WithBaseURL(n.http+"/v1/"), option.WithAPIKey(token), option.WithMaxRetries(retries))
}

// expectedText returns the text that the fake engines generate with weight version 1.
func expectedText(prompt string, seed int64, maxTokens int) string {
	var tokens []int
	for i := range answer.Length(testModel, prompt, seed, maxTokens) {
		tokens = append(tokens, answer.Token(testModel, prompt, seed, 1, i))
	}
	return answer.Text(tokens)
}

func TestOpenAIClientGetsItsAnswers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 2})
	c := newOpenAIClient(f.gates[0], editorToken, 0)
	ctx := context.Background()

	models, err := c.Models.List(ctx)
	is.NoErr(err)
	is.Equal(models.Data[0].ID, testModel)

	text, err := c.Completions.New(ctx, openai.CompletionNewParams{
		Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("a correction")}, MaxTokens: openai.Int(20), Seed: openai.Int(3),
	})
	is.NoErr(err)
	is.Equal(text.Choices[0].Text, expectedText("a correction", 3, 20))

	params := openai.ChatCompletionNewParams{
		Model: testModel, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}, MaxCompletionTokens: openai.Int(30), Seed: openai.Int(4),
	}
	want := expectedText("user: hello\nassistant:", 4, 30)
	chat, err := c.Chat.Completions.New(ctx, params)
	is.NoErr(err)
	is.Equal(chat.Choices[0].Message.Content, want)

	stream := c.Chat.Completions.NewStreaming(ctx, params)
	var b strings.Builder
	for stream.Next() {
		for _, ch := range stream.Current().Choices {
			b.WriteString(ch.Delta.Content)
		}
	}
	is.NoErr(stream.Err())
	is.Equal(b.String(), want)
}

func TestOpenAIClientParsesErrors(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 1})
	completionError := func(token, model string) *openai.Error {
		c := newOpenAIClient(f.gates[0], token, 0)
		_, err := c.Completions.New(context.Background(), openai.CompletionNewParams{
			Model: openai.CompletionNewParamsModel(model), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
		})
		var e *openai.Error
		is.True(errors.As(err, &e))
		return e
	}
	e := completionError("wrong", testModel)
	is.Equal(e.StatusCode, http.StatusUnauthorized)
	is.Equal(e.Code, "unauthorized")
	e = completionError(editorToken, "no-such-model")
	is.Equal(e.StatusCode, http.StatusNotFound)
	is.True(strings.Contains(e.Message, "/v1/models"))
	is.Equal(outcome(e.Response), api.OutcomeNotRun)
}

func TestOpenAIClientSucceedsAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 1})
	is.NoErr(f.engines[0].SetFaults(engine.Faults{Refuse: true}))
	c := newOpenAIClient(f.gates[0], editorToken, 0)
	params := openai.CompletionNewParams{
		Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")}, MaxTokens: openai.Int(5),
	}
	_, err := c.Completions.New(context.Background(), params)
	var e *openai.Error
	is.True(errors.As(err, &e))
	is.True(e.Response.Header.Get("Retry-After") != "")
	is.NoErr(f.engines[0].SetFaults(engine.Faults{}))
	retrying := newOpenAIClient(f.gates[0], editorToken, 2)
	got, err := retrying.Completions.New(context.Background(), params)
	is.NoErr(err)
	is.Equal(got.Choices[0].Text, expectedText("p", 0, 5))
}
