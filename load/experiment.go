package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/ibistrail/ibistrail/fake/deployment"
	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/settings"
)

// Limits of an experiment.
const (
	maxExperimentSeconds = 600
	maxCallRate          = 20_000 // requests per second, for each flow
)

// Experiment is the content of a file in experiments/: a load, its faults, and the variants to compare under them.
type Experiment struct {
	Name  string `json:"name"`
	About string `json:"about"`
	// Kind is "" for runs of a deployment, or "gate-cost" to compare calls with and without a gate.
	Kind       string            `json:"kind,omitempty"`
	Preset     deployment.Preset `json:"preset"`
	VMsPerZone int               `json:"vms_per_zone,omitempty"`
	Seconds    float64           `json:"seconds"`
	Seeds      []int64           `json:"seeds"`
	// Rates are the token rates and batch limits of the simulated engines.
	Rates    engine.Rates     `json:"rates"`
	FetchMs  int64            `json:"fetch_ms,omitempty"`
	LoadRate int              `json:"load_rate,omitempty"`
	Variants []Variant        `json:"variants"`
	Callers  []CallerFlow     `json:"callers,omitempty"`
	Trainers []TrainerConfig  `json:"trainers,omitempty"`
	Weights  []WeightSchedule `json:"weights,omitempty"`
	Faults   []FaultEvent     `json:"faults,omitempty"`
	Targets  []Target         `json:"targets,omitempty"`
	// Show lists further metrics for the table, without targets.
	Show []string `json:"show,omitempty"`
}

// Variant is one of the compared settings. The last variant of an experiment is ours, the others are baselines.
type Variant struct {
	Name   string          `json:"name"`
	Policy settings.Policy `json:"policy"`
}

// TrainerConfig describes one trainer.
type TrainerConfig struct {
	Caller string `json:"caller"`
	Route  string `json:"route"`
	Scorer string `json:"scorer,omitempty"`
	StepShape
	// Publishes is true if the trainer publishes new weights after each step.
	Publishes bool `json:"publishes,omitempty"`
}

// WeightSchedule publishes a new weight version of Model every EveryMs milliseconds.
type WeightSchedule struct {
	Model   string `json:"model"`
	EveryMs int64  `json:"every_ms"`
}

// FaultEvent is a fault that is set at a time of the run, in milliseconds from its start.
type FaultEvent struct {
	AtMs int64 `json:"at_ms"`
	// ForMs is the duration of the fault in milliseconds; 0 means until the end of the run.
	ForMs int64 `json:"for_ms,omitempty"`
	// Kind is engine, service, log, store, vms, platform or zone.
	Kind string `json:"kind"`
	// Names lists the affected engines, services or zones.
	Names []string `json:"names,omitempty"`
	// Set holds the fault switches of the engine, service, log, store or VM list.
	Set json.RawMessage `json:"set,omitempty"`
}

// Target is the required value of a metric of our variant, absolute or relative to the best baseline.
type Target struct {
	Metric string `json:"metric"`
	// MaxRatio is the maximum of our median divided by that of the best baseline.
	MaxRatio *float64 `json:"max_ratio,omitempty"`
	// MaxExtra is the maximum of our median minus that of the best baseline.
	MaxExtra *float64 `json:"max_extra,omitempty"`
	// Max and Min are absolute bounds of our median.
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
}

// LoadExperiment reads and validates an experiment file. Unknown fields are errors.
func LoadExperiment(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load: %w; pass an experiment file, see experiments/ for examples", err)
	}
	var x Experiment
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&x); err != nil {
		return nil, fmt.Errorf("load: decode %s: %w; see experiments/ for the fields", path, err)
	}
	if err := x.check(); err != nil {
		return nil, fmt.Errorf("load: %s: %w", path, err)
	}
	return &x, nil
}

func (x *Experiment) check() error {
	switch {
	case x.Name == "":
		return fmt.Errorf("name is empty; set it to the name of the experiment")
	case x.Kind != "" && x.Kind != kindGateCost:
		return fmt.Errorf("kind %q is unknown; leave it out or use %s", x.Kind, kindGateCost)
	case x.Seconds <= 0 || x.Seconds > maxExperimentSeconds:
		return fmt.Errorf("seconds is %g; it must be above 0 and at most %d", x.Seconds, maxExperimentSeconds)
	case len(x.Seeds) == 0 || len(x.Variants) == 0:
		return fmt.Errorf("seeds or variants are empty; list at least one of each")
	}
	for _, c := range x.Callers {
		if c.Rate <= 0 || c.Rate > maxCallRate || c.DeadlineMs <= 0 {
			return fmt.Errorf("caller %s: rate is %g and deadline_ms is %d; rate must be above 0 and at most %d, deadline_ms above 0", c.Caller, c.Rate, c.DeadlineMs, maxCallRate)
		}
	}
	for _, t := range x.Trainers {
		if t.Groups < 1 || t.Samples < 1 || t.MaxTokens < 1 {
			return fmt.Errorf("trainer %s: groups, samples and max_tokens must be at least 1", t.Caller)
		}
	}
	return nil
}

func (x *Experiment) duration() time.Duration { return time.Duration(x.Seconds * float64(time.Second)) }

// options returns the deployment options of a variant.
func (x *Experiment) options(v Variant) deployment.Options {
	return deployment.Options{
		Preset: x.Preset, VMsPerZone: x.VMsPerZone, Rates: x.Rates, FetchMs: x.FetchMs, LoadRate: x.LoadRate,
		Policy: v.Policy, DrainTimeoutMs: experimentDrainMs, BalancerLagMs: 1,
	}
}

// experimentDrainMs is the drain timeout of gates, in milliseconds.
const experimentDrainMs = 1000
