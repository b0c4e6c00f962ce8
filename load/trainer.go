package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/client"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/answer"
)

// StepShape describes the size of a trainer's steps.
type StepShape struct {
	Groups    int `json:"groups"`
	Samples   int `json:"samples"`
	MaxTokens int `json:"max_tokens"`
	// PromptBytes is the length of each prompt, of which the first SharedBytes are the same in all groups.
	PromptBytes int `json:"prompt_bytes"`
	SharedBytes int `json:"shared_bytes,omitempty"`
	// StalenessBound is in versions.
	StalenessBound int64 `json:"staleness_bound"`
	// ComputeMs is the simulated training time per sample, in milliseconds.
	ComputeMs float64 `json:"compute_ms"`
}

// trainer runs steps one after another and checks each sample that it receives.
type trainer struct {
	name   string
	site   *Site
	route  *config.Route
	scorer string
	shape  StepShape
	seed   int64
	// version returns the trainer's weight version; afterStep is called after each step.
	version   func() int64
	afterStep func(ctx context.Context) error
	checker   *checker
	log       *slog.Logger
	steps     []StepRecord
}

// StepRecord holds the measurements of one step.
type StepRecord struct {
	Trainer string  `json:"trainer"`
	Start   float64 `json:"start"` // seconds from the start of the run
	Seconds float64 `json:"seconds"`
	// Idle is the time that the trainer waited for samples, in seconds.
	Idle    float64 `json:"idle"`
	Samples int     `json:"samples"`
	// Staleness is the sum over all samples of the trainer's version minus the mean version of the sample's tokens.
	Staleness float64 `json:"staleness"`
	Tokens    int     `json:"tokens"`
	Complete  bool    `json:"whole"`
}

func (t *trainer) stepSpec(n int) api.StepSpec {
	spec := api.StepSpec{
		ID: fmt.Sprintf("%s-%d-%d", t.name, t.seed, n), Route: t.route.Name, MaxTokens: t.shape.MaxTokens,
		Seed: t.seed*1000 + int64(n), StalenessBound: t.shape.StalenessBound, Scorer: t.scorer,
	}
	for g := range t.shape.Groups {
		spec.Groups = append(spec.Groups, api.Group{
			ID: fmt.Sprintf("g%d", g), Samples: t.shape.Samples,
			Prompt: prompt(t.name, fmt.Sprintf("%d/%d/%d", t.seed, n, g), t.shape.PromptBytes, t.shape.SharedBytes),
		})
	}
	return spec
}

// prompt returns a text of n bytes whose first `shared` bytes depend only on sharedSeed and the others on uniqueSeed.
func prompt(sharedSeed, uniqueSeed string, n, shared int) string {
	head := strings.Repeat(sharedSeed+" asks for a note. ", shared/len(sharedSeed)+1)[:shared]
	tail := strings.Repeat(uniqueSeed+" ", n/len(uniqueSeed)+2)
	return head + tail[:max(n-shared, len(uniqueSeed))]
}

func (t *trainer) client() *client.Client {
	return client.New(client.Options{
		Gates: t.site.rotatedGates(), Token: t.site.token(t.name), Log: t.log,
		HTTP: &http.Client{Transport: &pullChecker{next: t.site.HTTP.Transport, checker: t.checker, stalenessBound: t.shape.StalenessBound}},
	})
}

// run starts steps until stop is closed; the last step may finish until ctx ends.
func (t *trainer) run(ctx context.Context, stop <-chan struct{}, runStart time.Time) error {
	c := t.client()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		case <-ctx.Done():
			return nil
		default:
		}
		rec, err := t.step(ctx, c, t.stepSpec(n), runStart)
		t.steps = append(t.steps, rec)
		if err != nil {
			return fmt.Errorf("trainer %s: step %d: %w", t.name, n, err)
		}
		if err := t.afterStep(ctx); err != nil {
			return fmt.Errorf("trainer %s: publish after step %d: %w", t.name, n, err)
		}
	}
}

// step runs one step. The trainer computes on each batch while the remaining samples are generated.
func (t *trainer) step(ctx context.Context, c *client.Client, spec api.StepSpec, runStart time.Time) (StepRecord, error) {
	started := time.Now()
	rec := StepRecord{Trainer: t.name, Start: started.Sub(runStart).Seconds()}
	t.checker.add(&t.checker.tally.Samples, spec.Slots())
	delivered := make([]bool, spec.Slots())
	finish := func(err error) (StepRecord, error) {
		rec.Seconds = time.Since(started).Seconds()
		rec.Complete = err == nil
		t.countUndelivered(spec, delivered, err)
		return rec, err
	}
	step, err := c.Step(ctx, spec, t.version)
	if err != nil {
		return finish(err)
	}
	for {
		waitStart := time.Now()
		minVersion := t.version()
		samples, err := step.Next(ctx)
		rec.Idle += time.Since(waitStart).Seconds()
		if errors.Is(err, io.EOF) {
			return finish(nil)
		}
		if err != nil {
			return finish(err)
		}
		for _, s := range samples {
			t.checkSample(spec, s, delivered, minVersion)
			rec.Samples++
			rec.Tokens += len(s.Tokens)
			rec.Staleness += staleness(t.version(), s.Spans)
		}
		sleep(ctx, time.Duration(float64(len(samples))*t.shape.ComputeMs*float64(time.Millisecond)))
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// staleness returns the trainer's version minus the mean version of the tokens, at least 0.
func staleness(version int64, spans []api.Span) float64 {
	sum, n := 0.0, 0
	for _, s := range spans {
		sum += float64(s.Version) * float64(s.Tokens)
		n += s.Tokens
	}
	if n == 0 {
		return 0
	}
	return max(0, float64(version)-sum/float64(n))
}

// checkSample checks one delivered sample. minVersion is a lower bound of the trainer version that the pull stated.
func (t *trainer) checkSample(spec api.StepSpec, s api.Sample, delivered []bool, minVersion int64) {
	chk := t.checker
	if s.Slot < 0 || s.Slot >= len(delivered) {
		chk.recordViolation(&chk.tally.Wrong, "step %s: slot %d does not exist", spec.ID, s.Slot)
		return
	}
	if delivered[s.Slot] {
		chk.recordViolation(&chk.tally.Doubled, "step %s: slot %d delivered twice", spec.ID, s.Slot)
		return
	}
	delivered[s.Slot] = true
	chk.add(&chk.tally.Delivered, 1)
	if o := oldestVersion(s.Spans); o < minVersion-spec.StalenessBound {
		chk.recordViolation(&chk.tally.Stale, "step %s: slot %d is of version %d, the trainer was at %d", spec.ID, s.Slot, o, minVersion)
	}
	g := spec.Groups[s.Slot/t.shape.Samples]
	q := completionQuery{model: t.site.model(t.route), prompt: g.Prompt, seed: spec.SlotSeed(s.Slot), maxTokens: spec.MaxTokens}
	if p := q.versionMismatch(s.Tokens, s.Spans); p != "" {
		chk.recordViolation(&chk.tally.Misversioned, "step %s: slot %d: %s", spec.ID, s.Slot, p)
	}
	if p := q.contentMismatch(s.Tokens, s.Text); p != "" {
		chk.recordViolation(&chk.tally.Cut, "step %s: slot %d: %s", spec.ID, s.Slot, p)
	}
	if g.ID != s.Group || (spec.Scorer != "" && s.Score != answer.Score(g.Prompt, s.Text)) {
		chk.recordViolation(&chk.tally.Wrong, "step %s: slot %d has group %s and score %v", spec.ID, s.Slot, s.Group, s.Score)
	}
}

// countUndelivered records the slots that were not delivered in a step that ended with err.
func (t *trainer) countUndelivered(spec api.StepSpec, delivered []bool, err error) {
	for i, ok := range delivered {
		if !ok {
			t.checker.recordViolation(&t.checker.tally.Lost, "step %s: slot %d was not delivered: %v", spec.ID, i, err)
		}
	}
}
