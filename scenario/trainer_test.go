package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/fake/answer"
)

// Bounds of a trainer.
const (
	pullWait    = 500 * time.Millisecond
	pullTimeout = 3 * time.Second
	retryWait   = 50 * time.Millisecond
)

// trainer pulls one step and counts what it gets.
type trainer struct {
	c      *cluster
	done   chan struct{}
	gates  []string // numbers
	as     string
	model  string
	spec   api.StepSpec
	scored bool
	// follow is true if the trainer's version is the newest that the script published.
	follow bool
	hold   time.Duration // between pulls
	held   atomic.Int64  // samples

	at     int // index into gates
	owner  string
	cursor api.Cursor

	Delivered    int      `json:"delivered"`
	Doubled      int      `json:"doubled"`
	Stale        int      `json:"stale"`
	Misversioned int      `json:"misversioned"`
	Wrong        int      `json:"wrong"` // not the whole answer to the slot's prompt
	Misscored    int      `json:"misscored"`
	Remaining    int      `json:"remaining"`
	Failed       int      `json:"failed"`
	Submits      int      `json:"submits"`
	Faults       []string `json:"faults"`
	versions     map[int64]int
	failed       map[int]bool
}

// cmdTrainer hands a step in and pulls it: trainer NAME gate=N[,N...] as=TRAINER groups=N samples=N
// max=N bound=N [scorer=ROUTE] [model=M] [follow] [hold=MS] [bg].
func (c *cluster) cmdTrainer(w words) error {
	name := w.bare(0)
	spec := api.StepSpec{
		ID: w.get("step", name), Route: w.get("route", "rollouts"), MaxTokens: int(w.int("max", 40)), Seed: w.int("seed", 7),
		StalenessBound: w.int("bound", 4), TrainerVersion: 1, Scorer: w.get("scorer", "scoring"), TimeoutMs: w.int("step-timeout", 0),
	}
	if w.has("unscored") {
		spec.Scorer = ""
	}
	for i := range int(w.int("groups", 4)) {
		spec.Groups = append(spec.Groups, api.Group{ID: fmt.Sprintf("g%d", i), Prompt: fmt.Sprintf("%s prompt %d of %s", w.get("prompt", ""), i, name), Samples: int(w.int("samples", 4))})
	}
	t := &trainer{
		c: c, done: make(chan struct{}), gates: strings.Split(w.get("gate", "1"), ","), as: w.get("as", "trainer-drafting"),
		model: w.get("model", "drafting"), spec: spec, scored: spec.Scorer != "", follow: w.has("follow"), hold: time.Duration(w.int("hold", 0)) * time.Millisecond,
		versions: map[int64]int{}, failed: map[int]bool{},
	}
	c.mu.Lock()
	_, taken := c.trainers[name]
	c.trainers[name] = t
	c.mu.Unlock()
	if taken {
		return fmt.Errorf("the name %q is taken", name)
	}
	if w.has("bg") {
		c.wg.Go(t.run)
		return nil
	}
	t.run()
	return nil
}

func (t *trainer) version() int64 {
	if !t.follow {
		return t.spec.TrainerVersion
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	return t.c.versions[t.model]
}

// run pulls until each slot is held, through the gates in turn where one fails.
func (t *trainer) run() {
	defer close(t.done)
	deadline := time.Now().Add(callTimeout)
	submitted := false
	for t.cursor.Count()+len(t.failed) < t.spec.Slots() && time.Now().Before(deadline) && t.c.ctx.Err() == nil {
		if !submitted {
			submitted = t.submit()
			continue
		}
		submitted = t.pull()
		time.Sleep(t.hold)
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.Remaining, t.Failed = t.spec.Slots()-t.cursor.Count(), len(t.failed)
}

// next goes on to the next gate after a failure.
func (t *trainer) next(what string, r *result) {
	t.Faults = append(t.Faults, fmt.Sprintf("%s at gate%s: %d %s %s", what, t.gates[t.at], r.Status, r.Code, r.Err))
	t.at = (t.at + 1) % len(t.gates)
	time.Sleep(retryWait)
}

// send posts one message to the gate of now and decodes a good answer.
func (t *trainer) send(path string, in, out any) *result {
	url, err := t.c.gateURL(t.gates[t.at])
	if err != nil {
		return &result{Err: err.Error()}
	}
	body, err := json.Marshal(in)
	if err != nil {
		return &result{Err: err.Error()}
	}
	r := t.c.do(callClient(), request{url: url, as: t.as, method: http.MethodPost, path: path + "?route=" + t.spec.Route, body: body, timeout: pullTimeout})
	if r.Err == "" && r.Status < http.StatusBadRequest {
		if err := json.Unmarshal(r.body, out); err != nil {
			r.Err = err.Error()
		}
	}
	return r
}

func (t *trainer) submit() bool {
	spec := t.spec
	spec.TrainerVersion, spec.Held = t.version(), t.cursor
	var a api.StepAccepted
	r := t.send("/v1/steps", spec, &a)
	if r.Err != "" || r.Status >= http.StatusBadRequest {
		t.next("submit", r)
		return false
	}
	t.Submits++
	t.owner = a.Owner
	return true
}

// pull asks for samples once; false means that the step must be handed in again.
func (t *trainer) pull() bool {
	version := t.version()
	var p api.PullResponse
	r := t.send("/v1/steps/"+t.spec.ID+"/pull", api.PullRequest{Owner: t.owner, Cursor: t.cursor, TrainerVersion: version, WaitMs: pullWait.Milliseconds()}, &p)
	if r.Code == string(api.CodeStepUnknown) {
		t.Faults = append(t.Faults, "step unknown at gate"+t.gates[t.at])
		time.Sleep(retryWait)
		return false
	}
	if r.Err != "" || r.Status >= http.StatusBadRequest {
		t.next("pull", r)
		return true
	}
	if p.Owner != "" {
		t.owner = p.Owner
	}
	for _, s := range p.Samples {
		t.take(s, version)
	}
	if p.Remaining == len(p.Failed) {
		for _, f := range p.Failed {
			t.failed[f.Slot] = true
		}
	}
	return true
}

// take counts one sample and what is wrong with it.
func (t *trainer) take(s api.Sample, version int64) {
	t.Delivered++
	if t.cursor.Has(s.Slot) {
		t.Doubled++
	}
	t.cursor = t.cursor.With(s.Slot)
	t.held.Store(int64(t.cursor.Count()))
	oldest := int64(math.MaxInt64)
	for _, sp := range s.Spans {
		oldest = min(oldest, sp.Version)
		t.versions[sp.Version] += sp.Tokens
	}
	if len(s.Spans) == 0 || version-oldest > t.spec.StalenessBound {
		t.Stale++
	}
	prompt := t.prompt(s.Slot)
	if err := t.checkSample(s, prompt); err != nil {
		t.Faults = append(t.Faults, fmt.Sprintf("slot %d: %v", s.Slot, err))
	}
	if t.scored && s.Score != answer.Score(prompt, s.Text) {
		t.Misscored++
	}
}

// prompt returns the prompt of a slot.
func (t *trainer) prompt(slot int) string {
	for _, g := range t.spec.Groups {
		if slot < g.Samples {
			return g.Prompt
		}
		slot -= g.Samples
	}
	return ""
}

// checkSample compares a sample with the pure function of its prompt, its seed and its versions.
func (t *trainer) checkSample(s api.Sample, prompt string) error {
	versions := expand(s.Spans)
	if len(versions) != len(s.Tokens) || answer.Text(s.Tokens) != s.Text {
		t.Wrong++
		return errors.New("text, tokens and spans differ")
	}
	seed := t.spec.SlotSeed(s.Slot)
	if len(s.Tokens) != answer.Length(t.model, prompt, seed, t.spec.MaxTokens) {
		t.Wrong++
		return fmt.Errorf("%d tokens, want %d", len(s.Tokens), answer.Length(t.model, prompt, seed, t.spec.MaxTokens))
	}
	if err := checkTokens(t.model, prompt, seed, t.spec.MaxTokens, s.Tokens, versions); err != nil {
		t.Misversioned++
		return err
	}
	return nil
}
