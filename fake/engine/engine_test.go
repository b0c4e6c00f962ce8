package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/fake/weightstore"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

// testEngine is a running engine with a weight store and clients.
type testEngine struct {
	t      *testing.T
	engine *Engine
	server *faults.Server
	client *trial.EngineClient
	http   *http.Client
	store  *weightstore.Store
}

func newTestEngine(t *testing.T, opts Options) *testEngine {
	t.Helper()
	store := weightstore.New(weightstore.Options{FetchMs: 1, Versions: map[string]int64{"m": 9}})
	hs := httptest.NewServer(store.Handler())
	opts.Name, opts.Model, opts.StoreURL, opts.SwapMs, opts.TickMs = "e", "m", hs.URL, 1, 1
	if opts.Version == 0 {
		opts.Version = 1
	}
	e := New(opts)
	server, err := faults.Listen("127.0.0.1:0", e.Handler())
	if err != nil {
		t.Fatal(err)
	}
	e.Attach(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	hc := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() { cancel(); <-done; server.Close(); hs.Close() })
	return &testEngine{t: t, engine: e, server: server, client: trial.NewEngineClient(hc), http: hc, store: store}
}

func (te *testEngine) post(req trial.CompletionRequest) (*http.Response, error) {
	raw, err := json.Marshal(req)
	if err != nil {
		te.t.Fatal(err)
	}
	return te.http.Post("http://"+te.server.Addr()+trial.PathCompletions, "application/json", bytes.NewReader(raw))
}

// events are the decoded events of a stream; done reports whether the end marker was received.
type events struct {
	chunks []trial.CompletionChunk
	done   bool
	err    error
}

func (ev events) tokens() []int {
	var out []int
	for _, c := range ev.chunks {
		out = append(out, c.Choices[0].TokenIDs...)
	}
	return out
}

// readEvents reads a stream to its end and calls onEvent, if it is not nil, after each event.
func readEvents(r io.Reader, onEvent func(trial.CompletionChunk)) events {
	var ev events
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ev.done = true
			continue
		}
		var c trial.CompletionChunk
		if ev.err = json.Unmarshal([]byte(data), &c); ev.err != nil {
			return ev
		}
		ev.chunks = append(ev.chunks, c)
		if onEvent != nil {
			onEvent(c)
		}
	}
	ev.err = sc.Err()
	return ev
}

func (te *testEngine) stream(req trial.CompletionRequest, onEvent func(trial.CompletionChunk)) events {
	req.Stream = true
	resp, err := te.post(req)
	if err != nil {
		return events{err: err}
	}
	defer resp.Body.Close()
	return readEvents(resp.Body, onEvent)
}

// wantTokens returns the tokens of the whole answer of one weight version.
func wantTokens(prompt string, seed int64, maxTokens int, version int64) []int {
	out := make([]int, answer.Length("m", prompt, seed, maxTokens))
	for i := range out {
		out[i] = answer.Token("m", prompt, seed, version, i)
	}
	return out
}

func request(id string, tokens int) trial.CompletionRequest {
	return trial.CompletionRequest{Model: "m", Prompt: "a correction", MaxTokens: tokens, Seed: 7, RequestID: id}
}

func TestStreamAndWholeAnswerHaveSameTokens(t *testing.T) {
	is := is.New(t)
	te := newTestEngine(t, Options{})
	is.NoErr(te.engine.SetFaults(Faults{SplitWrites: true}))
	ev := te.stream(request("a", 40), nil)
	is.NoErr(ev.err)
	is.True(ev.done)
	is.Equal(ev.tokens(), wantTokens("a correction", 7, 40, 1))
	resp, err := te.post(request("b", 40))
	is.NoErr(err)
	defer resp.Body.Close()
	var c trial.CompletionChunk
	is.NoErr(json.NewDecoder(resp.Body).Decode(&c))
	is.Equal(c.Choices[0].TokenIDs, ev.tokens())
	is.Equal(c.WeightSpans, []trial.WeightSpan{{Version: 1, Tokens: len(ev.tokens())}})
	is.Equal(c.Choices[0].Text, answer.Text(ev.tokens()))
}

func TestSwapInMidStreamChangesFollowingTokens(t *testing.T) {
	is := is.New(t)
	te := newTestEngine(t, Options{Rates: Rates{DecodeTokensPerSecond: 2000}})
	ordered := false
	ev := te.stream(request("a", 4000), func(trial.CompletionChunk) {
		if !ordered {
			ordered = true
			st, err := te.client.Order(context.Background(), te.server.Addr(), trial.Order{ID: "o", Kind: trial.OrderLoadVersion, Version: 2, Mode: trial.SwapNow})
			is.NoErr(err)
			is.Equal(st.Version, int64(2))
		}
	})
	is.True(ev.done)
	seen := map[int64]int{}
	i := 0
	for _, c := range ev.chunks {
		for _, token := range c.Choices[0].TokenIDs {
			is.Equal(token, answer.Token("m", "a correction", 7, c.WeightVersion, i))
			seen[c.WeightVersion]++
			i++
		}
	}
	is.True(seen[1] > 0 && seen[2] > 0)
}

func TestOutdatedTokenAndFailedSwapAreReported(t *testing.T) {
	is := is.New(t)
	te := newTestEngine(t, Options{FencingChecked: true})
	ctx := context.Background()
	order := func(token, version int64) error {
		_, err := te.client.Order(ctx, te.server.Addr(), trial.Order{ID: "o", Kind: trial.OrderLoadVersion, FencingToken: token, Version: version})
		return err
	}
	is.NoErr(order(5, 2))
	var fenced *trial.FencedError
	is.True(errors.As(order(4, 3), &fenced))
	is.Equal(fenced.FencingToken, int64(5))
	is.NoErr(te.engine.SetFaults(Faults{SwapFails: 1, LoseOrderAnswers: 1}))
	var unavailable *trial.UnavailableError
	is.True(errors.As(order(5, 3), &unavailable)) // the swap failed and its answer was lost
	is.Equal(te.engine.Status().Version, int64(2))
	is.NoErr(te.engine.SetFaults(Faults{LoseOrderAnswers: 1}))
	is.True(errors.As(order(5, 3), &unavailable)) // the order took effect but its answer was lost
	is.Equal(te.engine.Status().Version, int64(3))
}

func TestCutStreamCanBeResumed(t *testing.T) {
	for _, clean := range []bool{true, false} {
		is := is.New(t)
		te := newTestEngine(t, Options{})
		is.NoErr(te.engine.SetFaults(Faults{CutStreams: 1, CutAfterTokens: 3, CutClean: clean}))
		ev := te.stream(request("a", 60), nil)
		is.True(!ev.done)
		is.Equal(ev.err == nil, clean)
		got := ev.tokens()
		resp, err := te.http.Get("http://" + te.server.Addr() + trial.PathStreams + "a?from=3")
		is.NoErr(err)
		resumed := readEvents(resp.Body, nil)
		resp.Body.Close()
		is.True(resumed.done)
		is.Equal(append(got[:3:3], resumed.tokens()...), wantTokens("a correction", 7, 60, 1))
	}
}

func TestRequestContinuesFromPrefixTokensAndKV(t *testing.T) {
	is := is.New(t)
	te := newTestEngine(t, Options{})
	answerTokens := wantTokens("a correction", 7, 60, 1)
	is.NoErr(te.client.ImportKV(context.Background(), te.server.Addr(), &trial.KV{RequestID: "kv", Model: "m", Version: 1, Prompt: "a correction", Tokens: answerTokens[:4]}))
	for id, kv := range map[string]string{"a": "", "b": "kv"} {
		req := request(id, 60)
		req.PrefixTokens, req.KV = answerTokens[:4], kv
		ev := te.stream(req, nil)
		is.True(ev.done)
		is.Equal(ev.tokens(), answerTokens[4:])
		is.Equal(ev.chunks[0].Choices[0].Offset, 4)
	}
	for _, r := range te.engine.Journal().Runs {
		is.Equal(r.PrefillTokens > 0, r.RequestID == "a")
	}
}

func TestCancelAbortsAndPoisonCrashes(t *testing.T) {
	is := is.New(t)
	te := newTestEngine(t, Options{Rates: Rates{DecodeTokensPerSecond: 50}})
	ctx := context.Background()
	ev := te.stream(request("a", 100_000), func(trial.CompletionChunk) {
		_ = te.client.Cancel(ctx, te.server.Addr(), "a")
	})
	is.True(!ev.done)
	is.Equal(*ev.chunks[len(ev.chunks)-1].Choices[0].FinishReason, trial.FinishAbort)
	boot := te.engine.Status().Boot
	is.NoErr(te.engine.SetFaults(Faults{PoisonSubstring: "correction", RestartVersion: 4}))
	ev = te.stream(request("b", 10), nil)
	is.True(ev.err != nil)
	_, err := te.client.Status(ctx, te.server.Addr())
	is.True(err != nil) // connections are refused while the engine is down
	is.NoErr(te.engine.SetFaults(Faults{}))
	st, err := te.client.Status(ctx, te.server.Addr())
	is.NoErr(err)
	is.True(st.Boot != boot)
	is.Equal(st.Version, int64(4))
}

func TestChatAnswerHasOpenAIFormat(t *testing.T) {
	is := is.New(t)
	te := newTestEngine(t, Options{})
	body := `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":20,"seed":3,"temperature":0.5}`
	resp, err := te.http.Post("http://"+te.server.Addr()+PathChat, "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer resp.Body.Close()
	var c ChatChunk
	is.NoErr(json.NewDecoder(resp.Body).Decode(&c))
	is.Equal(c.Object, "chat.completion")
	is.Equal(c.Choices[0].Message.Content, answer.Text(wantTokens("user: hi\nassistant:", 3, 20, 1)))
}

func TestDrainingIsReportedInHeaderAndStatus(t *testing.T) {
	is := is.New(t)
	te := newTestEngine(t, Options{})
	is.NoErr(te.engine.SetFaults(Faults{Draining: true, HideVersion: true}))
	resp, err := te.post(request("a", 5))
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get(trial.HeaderDraining), "true")
	var c trial.CompletionChunk
	is.NoErr(json.NewDecoder(resp.Body).Decode(&c))
	is.Equal(c.WeightVersion, int64(0))
	is.True(te.engine.Status().Draining)
	is.True(te.engine.Journal().Runs[0].Draining)
}

func TestLoadReportIsStaleWithinLag(t *testing.T) {
	is := is.New(t)
	te := newTestEngine(t, Options{LoadLagMs: int64(time.Hour / time.Millisecond), Rates: Rates{DecodeTokensPerSecond: 1}})
	is.Equal(te.engine.Load().Running, 0)
	req := request("a", 1000)
	_, err := te.engine.submit(time.Now(), &req)
	is.NoErr(err)
	is.Equal(te.engine.Load().Running+te.engine.Load().Waiting, 0) // the report is stale
}
