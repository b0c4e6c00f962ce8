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

// StepShape is the size of a trainer's steps.
type StepShape struct {
	Groups    int `json:"groups"`
	Samples   int `json:"samples"`
	MaxTokens int `json:"max_tokens"`
	// PromptBytes is the length of each prompt, of which the first SharedBytes are the same in all groups.
	PromptBytes int `json:"prompt_bytes"`
	SharedBytes int `json:"shared_bytes,omitempty"`
	// StalenessBound is in versions.
	StalenessBound int64 `json:"staleness_bound"`
	// ComputeMs is what the trainer computes on each sample, in milliseconds.
	ComputeMs float64 `json:"compute_ms"`
}

// trainer runs steps one after another and checks each sample.
type trainer struct {
	name   string
	site   *Site
	route  *config.Route
	scorer string
	shape  StepShape
	seed   int64
	// version is the trainer's version; trained is told after each step.
	version func() int64
	trained func(ctx context.Context) error
	ledger  *ledger
	log     *slog.Logger
	steps   []StepRecord
}

// StepRecord is how a step went.
type StepRecord struct {
	Trainer string  `json:"trainer"`
	Start   float64 `json:"start"` // seconds from the start of the run
	Seconds float64 `json:"seconds"`
	// Idle is how long the trainer waited with nothing to compute, in seconds.
	Idle    float64 `json:"idle"`
	Samples int     `json:"samples"`
	// Staleness is the sum over samples of the trainer's version less the mean version of the tokens.
	Staleness float64 `json:"staleness"`
	Tokens    int     `json:"tokens"`
	Whole     bool    `json:"whole"`
}

func (t *trainer) spec(n int) api.StepSpec {
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

// prompt returns a text of n bytes whose first shared bytes depend only on owner.
func prompt(owner, own string, n, shared int) string {
	head := strings.Repeat(owner+" asks for a note. ", shared/len(owner)+1)[:shared]
	tail := strings.Repeat(own+" ", n/len(own)+2)
	return head + tail[:max(n-shared, len(own))]
}

func (t *trainer) client() *client.Client {
	return client.New(client.Options{
		Gates: t.site.gates(), Token: t.site.token(t.name), Log: t.log,
		HTTP: &http.Client{Transport: &recorder{next: t.site.HTTP.Transport, ledger: t.ledger, bound: t.shape.StalenessBound}},
	})
}

// run makes steps until stop, and finishes the last one before ctx ends.
func (t *trainer) run(ctx context.Context, stop <-chan struct{}, began time.Time) error {
	c := t.client()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		case <-ctx.Done():
			return nil
		default:
		}
		rec, err := t.step(ctx, c, t.spec(n), began)
		t.steps = append(t.steps, rec)
		if err != nil {
			return fmt.Errorf("trainer %s: step %d: %w", t.name, n, err)
		}
		if err := t.trained(ctx); err != nil {
			return fmt.Errorf("trainer %s: publish after step %d: %w", t.name, n, err)
		}
	}
}

// step runs one step: the trainer computes on each batch while the rest is made.
func (t *trainer) step(ctx context.Context, c *client.Client, spec api.StepSpec, began time.Time) (StepRecord, error) {
	started := time.Now()
	rec := StepRecord{Trainer: t.name, Start: started.Sub(began).Seconds()}
	t.ledger.count(&t.ledger.tally.Samples, spec.Slots())
	got := make([]bool, spec.Slots())
	finish := func(err error) (StepRecord, error) {
		rec.Seconds = time.Since(started).Seconds()
		rec.Whole = err == nil
		t.missing(spec, got, err)
		return rec, err
	}
	step, err := c.Step(ctx, spec, t.version)
	if err != nil {
		return finish(err)
	}
	for {
		waited := time.Now()
		stated := t.version()
		samples, err := step.Next(ctx)
		rec.Idle += time.Since(waited).Seconds()
		if errors.Is(err, io.EOF) {
			return finish(nil)
		}
		if err != nil {
			return finish(err)
		}
		for _, s := range samples {
			t.check(spec, s, got, stated)
			rec.Samples++
			rec.Tokens += len(s.Tokens)
			rec.Staleness += staleness(t.version(), s.Spans)
		}
		pause(ctx, time.Duration(float64(len(samples))*t.shape.ComputeMs*float64(time.Millisecond)))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// staleness returns the trainer's version less the mean version of the tokens.
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

// check judges one delivered sample; stated is what the trainer's version was at least.
func (t *trainer) check(spec api.StepSpec, s api.Sample, got []bool, stated int64) {
	l := t.ledger
	if s.Slot < 0 || s.Slot >= len(got) {
		l.problem(&l.tally.Wrong, "step %s: slot %d does not exist", spec.ID, s.Slot)
		return
	}
	if got[s.Slot] {
		l.problem(&l.tally.Doubled, "step %s: slot %d delivered twice", spec.ID, s.Slot)
		return
	}
	got[s.Slot] = true
	l.count(&l.tally.Delivered, 1)
	if o := oldest(s.Spans); o < stated-spec.StalenessBound {
		l.problem(&l.tally.Stale, "step %s: slot %d is of version %d, the trainer was at %d", spec.ID, s.Slot, o, stated)
	}
	g := spec.Groups[s.Slot/t.shape.Samples]
	q := question{model: t.site.model(t.route), prompt: g.Prompt, seed: spec.SlotSeed(s.Slot), maxTokens: spec.MaxTokens}
	if p := q.misversioned(s.Tokens, s.Spans); p != "" {
		l.problem(&l.tally.Misversioned, "step %s: slot %d: %s", spec.ID, s.Slot, p)
	}
	if p := q.partial(s.Tokens, s.Text); p != "" {
		l.problem(&l.tally.Cut, "step %s: slot %d: %s", spec.ID, s.Slot, p)
	}
	if g.ID != s.Group || (spec.Scorer != "" && s.Score != answer.Score(g.Prompt, s.Text)) {
		l.problem(&l.tally.Wrong, "step %s: slot %d has group %s and score %v", spec.ID, s.Slot, s.Group, s.Score)
	}
}

// missing counts the slots that were never delivered in a step that ended with err.
func (t *trainer) missing(spec api.StepSpec, got []bool, err error) {
	for i, ok := range got {
		if !ok {
			t.ledger.problem(&t.ledger.tally.Lost, "step %s: slot %d was not delivered: %v", spec.ID, i, err)
		}
	}
}
