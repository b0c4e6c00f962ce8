package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

// completionResponse is the part of a /v1/completions response that tests check.
type completionResponse struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Spans []api.Span `json:"spans"`
}

func completionBody(prompt string, maxTokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"seed":1}`, testModel, prompt, maxTokens)
}

// complete sends a completion to gate i and returns the text and spans of the answer.
func (f *fleet) complete(i int, prompt string, maxTokens int) (string, []api.Span) {
	f.t.Helper()
	r := f.send(i, http.MethodPost, "/v1/completions", completionBody(prompt, maxTokens))
	if r.StatusCode != http.StatusOK {
		f.t.Errorf("status %d: %s", r.StatusCode, bodyText(f.t, r))
		return "", nil
	}
	var c completionResponse
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		f.t.Errorf("decode completion response: %v", err)
		return "", nil
	}
	return c.Choices[0].Text, c.Spans
}

func (f *fleet) setEngineFaults(all engine.Faults) {
	f.t.Helper()
	for _, e := range f.engines {
		if err := e.SetFaults(all); err != nil {
			f.t.Fatal(err)
		}
	}
}

// crashedEngines returns the number of engines that have crashed.
func (f *fleet) crashedEngines() int {
	n := 0
	for _, s := range f.engineServers {
		if s.Down() {
			n++
		}
	}
	return n
}

func TestAnswersAreCompleteAndUnmixedDespiteStreamFaults(t *testing.T) {
	for name, fault := range map[string]engine.Faults{
		"cut by reset":         {CutStreams: 2, CutAfterTokens: 3},
		"cut clean, no marker": {CutStreams: 2, CutAfterTokens: 3, CutClean: true},
		"split across events":  {SplitWrites: true},
		"another's answer":     {CrossAnswers: 1},
		"dies at accept":       {DieAt: engine.PointAccept, DieCalls: 1},
		"dies when received":   {DieAt: engine.PointReceived, DieCalls: 1},
		"dies after headers":   {DieAt: engine.PointHeaders, DieCalls: 1},
		"dies at first token":  {DieAt: engine.PointFirstToken, DieCalls: 1},
		"dies before marker":   {DieAt: engine.PointLastToken, DieCalls: 1},
		"process dies mid-way": {DieAt: engine.PointFirstToken, DieCalls: 1, DieCrashesEngine: true},
		"version is not shown": {HideVersion: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fleetOptions{gates: 1, engines: 3})
			is.NoErr(f.engines[0].SetFaults(fault))
			if !fault.DieCrashesEngine { // a request that was running on two engines when they died is quarantined by design
				is.NoErr(f.engines[1].SetFaults(fault))
			}
			for k := range 4 {
				prompt := fmt.Sprintf("a correction %d", k)
				got, spans := f.complete(0, prompt, 40)
				want := expectedText(prompt, 1, 40)
				is.Equal(got, want)
				n := 0
				for _, s := range spans {
					is.True(s.Version == 1 || fault.HideVersion && s.Version == 0)
					n += s.Tokens
				}
				is.Equal(n*7, len(want)) // 7 bytes of text for each token
			}
		})
	}
}

func TestAnswerIsCompletedAfterEngineRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 2, rates: engine.Rates{DecodeTokensPerSecond: 200}})
	var wg sync.WaitGroup
	wg.Go(func() {
		f.await("a run is in progress", func() bool { return f.engines[0].Load().Running+f.engines[1].Load().Running > 0 })
		for i, e := range f.engines {
			if e.Load().Running == 0 {
				continue
			}
			f.engineServers[i].Crash()
			if err := f.engineServers[i].Restart(); err != nil {
				t.Error(err)
			}
		}
	})
	got, _ := f.complete(0, "long", 60)
	wg.Wait()
	is.Equal(got, expectedText("long", 1, 60))
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 1, rates: engine.Rates{DecodeTokensPerSecond: 10}})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.gates[0].http+"/v1/completions", strings.NewReader(completionBody("p", 1000)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+editorToken)
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req) //nolint:bodyclose // it fails
		done <- err
	}()
	f.await("the engine runs the request", func() bool { return f.engines[0].Load().Running == 1 })
	cancel()
	is.True(<-done != nil)
	f.await("the engine's run is cancelled", func() bool { return f.engines[0].Load().Running == 0 })
}

func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 3, engines: 6, rates: engine.Rates{DecodeTokensPerSecond: 100}})
	f.setEngineFaults(engine.Faults{PoisonSubstring: "poison"})
	var wg sync.WaitGroup
	for k := range 24 {
		wg.Go(func() {
			prompt := fmt.Sprintf("innocent %d", k)
			got, _ := f.complete(k%3, prompt, 30)
			if got != expectedText(prompt, 1, 30) {
				t.Errorf("%s got another answer", prompt)
			}
		})
	}
	f.await("an innocent request is running", func() bool { return f.engines[0].Load().Running+f.engines[1].Load().Running > 0 })
	for k := range 20 {
		r := f.send(k%3, http.MethodPost, "/v1/completions", completionBody("the poison", 10))
		is.Equal(r.StatusCode, http.StatusUnprocessableEntity)
		is.Equal(errorCode(t, r), api.CodeQuarantined)
		is.Equal(r.Header.Get("Retry-After"), "")
	}
	wg.Wait()
	is.True(f.crashedEngines() <= 2)
	for _, n := range f.gates {
		f.await("requests that shared the engine are no longer suspects", func() bool { return len(n.gate.dispatcher.State().Quarantine.Suspects) == 0 })
	}
}

func TestConcurrentPoisonRequestsDoNotAffectOtherRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 3, engines: 9, rates: engine.Rates{DecodeTokensPerSecond: 200}})
	f.setEngineFaults(engine.Faults{PoisonSubstring: "poison"})
	var wg sync.WaitGroup
	for k := range 12 {
		wg.Go(func() {
			prompt := fmt.Sprintf("innocent %d", k)
			if got, _ := f.complete(k%3, prompt, 30); got != expectedText(prompt, 1, 30) {
				t.Errorf("%s got another answer", prompt)
			}
		})
		wg.Go(func() {
			r := f.send(k%3, http.MethodPost, "/v1/completions", completionBody("the poison", 10))
			if r.StatusCode != http.StatusUnprocessableEntity {
				t.Errorf("status %d, want 422", r.StatusCode)
			}
		})
	}
	wg.Wait()
	is.True(f.crashedEngines() > 0) // the number depends on how many poison requests run before the first death is reported
}

func TestDrainingTargetReceivesNoNewRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 2})
	is.NoErr(f.engines[0].SetFaults(engine.Faults{Draining: true}))
	f.await("the gate sees the engine's draining signal", func() bool {
		return f.gates[0].gate.dispatcher.State().Pools["drafting-models"].Targets[0].Blocked != ""
	})
	f.await("the steward receives the report", func() bool {
		f.steward.mu.Lock()
		defer f.steward.mu.Unlock()
		return len(f.steward.reports) > 0 && len(f.steward.reports[0].Leaving) == 1
	})
	before := len(f.engines[0].Journal().Runs)
	for k := range 10 {
		f.complete(0, fmt.Sprint(k), 5)
	}
	is.Equal(len(f.engines[0].Journal().Runs), before)

	f.steward.set(func(st *wire.State) {
		st.Draining = map[string]string{f.engineServers[1].Addr(): "the list of VMs says leaving"}
	})
	f.await("the gate applies the steward's draining state", func() bool {
		return f.gates[0].gate.dispatcher.State().Pools["drafting-models"].Targets[1].Blocked != ""
	})
	r := f.send(0, http.MethodPost, "/v1/completions", completionBody("p", 5))
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(r), api.OutcomeNotRun)
	is.True(r.Header.Get("Retry-After") != "")

	is.NoErr(f.engines[0].SetFaults(engine.Faults{}))
	f.await("the engine that no longer drains gets requests again", func() bool {
		return f.send(0, http.MethodPost, "/v1/completions", completionBody("p", 5)).StatusCode == http.StatusOK
	})
}

func TestPlannedStopCompletesRunningRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 2, services: 1, rates: engine.Rates{DecodeTokensPerSecond: 100},
		settings: func(s *settings.Gate) { s.BalancerLagMs = 200 }})
	var wg sync.WaitGroup
	for k := range 10 {
		wg.Go(func() {
			prompt := fmt.Sprintf("long %d", k)
			if got, _ := f.complete(0, prompt, 100); got != expectedText(prompt, 1, 100) {
				t.Errorf("%s was cut", prompt)
			}
		})
	}
	f.await("all 10 requests are running", func() bool {
		s := f.gates[0].gate.dispatcher.State().Pools["drafting-models"]
		return s.Targets[0].InFlight+s.Targets[1].InFlight == 10
	})
	f.gates[0].stop()
	f.await("the gate is not ready", func() bool { return f.gates[0].gate.readiness() != nil })
	r := f.send(0, http.MethodPost, "/corrections/1", "x") // a balancer that has not noticed yet still sends requests
	is.Equal(outcome(r), api.OutcomeDone)
	is.Equal(r.Close, true)
	f.gates[0].gate.SkipBalancerLag()
	wg.Wait()
	<-f.gates[0].done
}

func TestOverloadIsRefusedAtOnceAndLowerClassWaits(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 1, rates: engine.Rates{DecodeTokensPerSecond: 50, BatchLimit: 2},
		tables: func(tb *config.Tables) { tb.Pools[0].ConcurrencyPerTarget = 2 }})
	statuses := make(chan int, 40)
	started := time.Now()
	var wg sync.WaitGroup
	for k := range 40 {
		wg.Go(func() {
			r := f.send(0, http.MethodPost, "/v1/completions", completionBody(fmt.Sprint(k), 40), api.HeaderDeadline, "2000")
			if r.StatusCode != http.StatusOK {
				if outcome(r) != api.OutcomeNotRun && outcome(r) != api.OutcomeUnknown {
					t.Errorf("refused request has outcome %s", outcome(r))
				}
				if r.StatusCode != http.StatusGatewayTimeout && r.Header.Get("Retry-After-Ms") == "" {
					t.Errorf("status %d without Retry-After", r.StatusCode)
				}
			}
			statuses <- r.StatusCode
		})
	}
	wg.Wait()
	is.True(time.Since(started) < 10*time.Second)
	ok, refused := 0, 0
	for range 40 {
		if s := <-statuses; s == http.StatusOK {
			ok++
		} else if s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable {
			refused++
		}
	}
	is.True(ok >= 2)
	is.True(refused > 0)
}

func TestGateKeepsTablesIfStewardIsOutdatedOrNotReady(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetOptions{gates: 1, engines: 1})
	f.steward.set(func(st *wire.State) { st.Revision, st.Tables = 0, &config.Tables{} }) // an older configuration
	f.steward.set(func(st *wire.State) { st.Ready = false })
	got, _ := f.complete(0, "p", 5)
	is.Equal(got, expectedText("p", 1, 5))
	_, revision := f.gates[0].gate.state.Tables()
	is.Equal(revision, trial.Offset(1))
}
