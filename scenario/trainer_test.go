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

// Timing of a trainer's requests.
const (
	pullWait    = 500 * time.Millisecond
	pullTimeout = 3 * time.Second
	retryWait   = 50 * time.Millisecond
)

// trainer submits one step, pulls its samples and counts the samples by correctness.
type trainer struct {
	c           *cluster
	done        chan struct{}
	gateNumbers []string
	caller      string
	model       string
	spec        api.StepSpec
	scored      bool
	// followPublished makes the trainer's version the newest that the script has published.
	followPublished bool
	pullDelay       time.Duration // pause between pulls
	heldSamples     atomic.Int64  // distinct samples received

	gateIndex int // selected gate, in gateNumbers
	owner     string
	cursor    api.Cursor

	Delivered       int      `json:"delivered"`
	Doubled         int      `json:"doubled"`      // samples of a slot that was received before
	Stale           int      `json:"stale"`        // samples beyond the staleness bound, or without spans
	Misversioned    int      `json:"misversioned"` // tokens that their reported version does not generate
	Wrong           int      `json:"wrong"`        // not the complete answer to the slot's prompt
	Misscored       int      `json:"misscored"`    // score of another sample
	Remaining       int      `json:"remaining"`
	Failed          int      `json:"failed"`
	Submits         int      `json:"submits"`
	Faults          []string `json:"faults"`
	tokensByVersion map[int64]int
	failedSlots     map[int]bool
}

// cmdTrainer submits a step and pulls its samples: trainer NAME gate=N[,N...] as=TRAINER groups=N samples=N
// max=N bound=N [scorer=ROUTE] [model=M] [follow] [hold=MS] [bg].
func (c *cluster) cmdTrainer(args cmdArgs) error {
	name := args.positional(0)
	spec := api.StepSpec{
		ID: args.option("step", name), Route: args.option("route", "rollouts"), MaxTokens: int(args.intOption("max", 40)), Seed: args.intOption("seed", 7),
		StalenessBound: args.intOption("bound", 4), TrainerVersion: 1, Scorer: args.option("scorer", "scoring"), TimeoutMs: args.intOption("step-timeout", 0),
	}
	if args.hasFlag("unscored") {
		spec.Scorer = ""
	}
	for i := range int(args.intOption("groups", 4)) {
		spec.Groups = append(spec.Groups, api.Group{ID: fmt.Sprintf("g%d", i), Prompt: fmt.Sprintf("%s prompt %d of %s", args.option("prompt", ""), i, name), Samples: int(args.intOption("samples", 4))})
	}
	t := &trainer{
		c: c, done: make(chan struct{}), gateNumbers: strings.Split(args.option("gate", "1"), ","), caller: args.option("as", "trainer-drafting"),
		model: args.option("model", "drafting"), spec: spec, scored: spec.Scorer != "", followPublished: args.hasFlag("follow"), pullDelay: time.Duration(args.intOption("hold", 0)) * time.Millisecond,
		tokensByVersion: map[int64]int{}, failedSlots: map[int]bool{},
	}
	c.mu.Lock()
	_, taken := c.trainers[name]
	c.trainers[name] = t
	c.mu.Unlock()
	if taken {
		return fmt.Errorf("the name %q is already used by another trainer; choose a different one", name)
	}
	if args.hasFlag("bg") {
		c.wg.Go(t.run)
		return nil
	}
	t.run()
	return nil
}

func (t *trainer) trainerVersion() int64 {
	if !t.followPublished {
		return t.spec.TrainerVersion
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	return t.c.publishedVersions[t.model]
}

// run pulls until each slot is received or failed, for at most callTimeout; after an error it uses the next gate.
func (t *trainer) run() {
	defer close(t.done)
	deadline := time.Now().Add(callTimeout)
	submitted := false
	for t.cursor.Count()+len(t.failedSlots) < t.spec.Slots() && time.Now().Before(deadline) && t.c.ctx.Err() == nil {
		if !submitted {
			submitted = t.submit()
			continue
		}
		submitted = t.pull()
		time.Sleep(t.pullDelay)
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.Remaining, t.Failed = t.spec.Slots()-t.cursor.Count(), len(t.failedSlots)
}

// switchGate records a failed request and selects the next gate.
func (t *trainer) switchGate(what string, r *result) {
	t.Faults = append(t.Faults, fmt.Sprintf("%s at gate%s: %d %s %s", what, t.gateNumbers[t.gateIndex], r.Status, r.Code, r.Err))
	t.gateIndex = (t.gateIndex + 1) % len(t.gateNumbers)
	time.Sleep(retryWait)
}

// post sends one message to the selected gate and decodes the answer if its status is below 400.
func (t *trainer) post(path string, in, out any) *result {
	url, err := t.c.gateURL(t.gateNumbers[t.gateIndex])
	if err != nil {
		return &result{Err: err.Error()}
	}
	body, err := json.Marshal(in)
	if err != nil {
		return &result{Err: err.Error()}
	}
	r := t.c.sendCall(newCallClient(), httpCall{url: url, caller: t.caller, method: http.MethodPost, path: path + "?route=" + t.spec.Route, body: body, timeout: pullTimeout})
	if r.Err == "" && r.Status < http.StatusBadRequest {
		if err := json.Unmarshal(r.body, out); err != nil {
			r.Err = err.Error()
		}
	}
	return r
}

func (t *trainer) submit() bool {
	spec := t.spec
	spec.TrainerVersion, spec.Held = t.trainerVersion(), t.cursor
	var a api.StepAccepted
	r := t.post("/v1/steps", spec, &a)
	if r.Err != "" || r.Status >= http.StatusBadRequest {
		t.switchGate("submit", r)
		return false
	}
	t.Submits++
	t.owner = a.Owner
	return true
}

// pull requests samples once; it returns false if the step must be submitted again.
func (t *trainer) pull() bool {
	version := t.trainerVersion()
	var p api.PullResponse
	r := t.post("/v1/steps/"+t.spec.ID+"/pull", api.PullRequest{Owner: t.owner, Cursor: t.cursor, TrainerVersion: version, WaitMs: pullWait.Milliseconds()}, &p)
	if r.Code == string(api.CodeStepUnknown) {
		t.Faults = append(t.Faults, "step unknown at gate"+t.gateNumbers[t.gateIndex])
		time.Sleep(retryWait)
		return false
	}
	if r.Err != "" || r.Status >= http.StatusBadRequest {
		t.switchGate("pull", r)
		return true
	}
	if p.Owner != "" {
		t.owner = p.Owner
	}
	for _, s := range p.Samples {
		t.countSample(s, version)
	}
	if p.Remaining == len(p.Failed) {
		for _, f := range p.Failed {
			t.failedSlots[f.Slot] = true
		}
	}
	return true
}

// countSample counts one sample, and whether it is a duplicate, stale, wrong or wrongly scored.
func (t *trainer) countSample(s api.Sample, version int64) {
	t.Delivered++
	if t.cursor.Has(s.Slot) {
		t.Doubled++
	}
	t.cursor = t.cursor.With(s.Slot)
	t.heldSamples.Store(int64(t.cursor.Count()))
	oldest := int64(math.MaxInt64)
	for _, sp := range s.Spans {
		oldest = min(oldest, sp.Version)
		t.tokensByVersion[sp.Version] += sp.Tokens
	}
	if len(s.Spans) == 0 || version-oldest > t.spec.StalenessBound {
		t.Stale++
	}
	prompt := t.slotPrompt(s.Slot)
	if err := t.checkSample(s, prompt); err != nil {
		t.Faults = append(t.Faults, fmt.Sprintf("slot %d: %v", s.Slot, err))
	}
	if t.scored && s.Score != answer.Score(prompt, s.Text) {
		t.Misscored++
	}
}

func (t *trainer) slotPrompt(slot int) string {
	for _, g := range t.spec.Groups {
		if slot < g.Samples {
			return g.Prompt
		}
		slot -= g.Samples
	}
	return ""
}

// checkSample returns an error unless a sample is what fake engines generate for its prompt, seed and versions.
func (t *trainer) checkSample(s api.Sample, prompt string) error {
	versions := tokenVersions(s.Spans)
	if len(versions) != len(s.Tokens) || answer.Text(s.Tokens) != s.Text {
		t.Wrong++
		return errors.New("text, tokens and spans of the sample do not agree")
	}
	seed := t.spec.SlotSeed(s.Slot)
	if len(s.Tokens) != answer.Length(t.model, prompt, seed, t.spec.MaxTokens) {
		t.Wrong++
		return fmt.Errorf("got %d tokens, want %d", len(s.Tokens), answer.Length(t.model, prompt, seed, t.spec.MaxTokens))
	}
	if err := checkTokens(t.model, prompt, seed, t.spec.MaxTokens, s.Tokens, versions); err != nil {
		t.Misversioned++
		return err
	}
	return nil
}
