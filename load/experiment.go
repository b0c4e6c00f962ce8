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

// Bounds of an experiment.
const (
	maxExperimentSeconds = 600
	maxCallRate          = 20_000 // requests per second of one flow
)

// Experiment is a file of experiments/: a load, its faults, and the settings to compare under it.
type Experiment struct {
	Name  string `json:"name"`
	About string `json:"about"`
	// Kind is "" for a run of a deployment or "gate-cost" for calls with and without a gate.
	Kind       string            `json:"kind,omitempty"`
	Preset     deployment.Preset `json:"preset"`
	VMsPerZone int               `json:"vms_per_zone,omitempty"`
	Seconds    float64           `json:"seconds"`
	Seeds      []int64           `json:"seeds"`
	// Rates are those of the modelled engines.
	Rates    engine.Rates     `json:"rates"`
	FetchMs  int64            `json:"fetch_ms,omitempty"`
	LoadRate int              `json:"load_rate,omitempty"`
	Variants []Variant        `json:"variants"`
	Callers  []CallerMix      `json:"callers,omitempty"`
	Trainers []TrainerMix     `json:"trainers,omitempty"`
	Weights  []WeightSchedule `json:"weights,omitempty"`
	Faults   []FaultEvent     `json:"faults,omitempty"`
	Targets  []Target         `json:"targets,omitempty"`
	// Show are further metrics for the table.
	Show []string `json:"show,omitempty"`
}

// Variant is one of the settings that are compared. The last one is ours, the others are baselines.
type Variant struct {
	Name   string          `json:"name"`
	Policy settings.Policy `json:"policy"`
}

// TrainerMix is one trainer.
type TrainerMix struct {
	Caller string `json:"caller"`
	Route  string `json:"route"`
	Scorer string `json:"scorer,omitempty"`
	StepShape
	// Publishes tells that the trainer publishes new weights after each step.
	Publishes bool `json:"publishes,omitempty"`
}

// WeightSchedule publishes versions at fixed times.
type WeightSchedule struct {
	Model   string `json:"model"`
	EveryMs int64  `json:"every_ms"`
}

// FaultEvent sets a fault switch for a time.
type FaultEvent struct {
	AtMs int64 `json:"at_ms"`
	// ForMs is how long it holds; 0 means to the end.
	ForMs int64 `json:"for_ms,omitempty"`
	// Kind is engine, service, log, store, vms, platform or zone.
	Kind string `json:"kind"`
	// Names are engines, services or zones.
	Names []string `json:"names,omitempty"`
	// Set are the switches of an engine, service, log, store or VM list.
	Set json.RawMessage `json:"set,omitempty"`
}

// Target is what a metric of ours has to reach. A ratio is against the best baseline.
type Target struct {
	Metric string `json:"metric"`
	// MaxRatio bounds ours divided by the smallest of the baselines.
	MaxRatio *float64 `json:"max_ratio,omitempty"`
	// MaxExtra bounds ours less the smallest of the baselines.
	MaxExtra *float64 `json:"max_extra,omitempty"`
	// Max and Min bound ours.
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
}

// LoadExperiment reads and checks an experiment file.
func LoadExperiment(path string) (*Experiment, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load: %w; name an experiment file, see experiments/", err)
	}
	var x Experiment
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&x); err != nil {
		return nil, fmt.Errorf("load: %s does not decode: %w; see experiments/ for the fields", path, err)
	}
	if err := x.check(); err != nil {
		return nil, fmt.Errorf("load: %s: %w", path, err)
	}
	return &x, nil
}

func (x *Experiment) check() error {
	switch {
	case x.Name == "":
		return fmt.Errorf("name is empty; name the experiment")
	case x.Kind != "" && x.Kind != kindGateCost:
		return fmt.Errorf("kind %q is unknown; leave it out or use %s", x.Kind, kindGateCost)
	case x.Seconds <= 0 || x.Seconds > maxExperimentSeconds:
		return fmt.Errorf("seconds is %g; choose above 0 and up to %d", x.Seconds, maxExperimentSeconds)
	case len(x.Seeds) == 0 || len(x.Variants) == 0:
		return fmt.Errorf("seeds or variants are empty; name at least one of each")
	}
	for _, c := range x.Callers {
		if c.Rate <= 0 || c.Rate > maxCallRate || c.DeadlineMs <= 0 {
			return fmt.Errorf("caller %s: rate is %g and deadline_ms %d; choose a rate above 0 and up to %d, and a deadline", c.Caller, c.Rate, c.DeadlineMs, maxCallRate)
		}
	}
	for _, t := range x.Trainers {
		if t.Groups < 1 || t.Samples < 1 || t.MaxTokens < 1 {
			return fmt.Errorf("trainer %s: groups, samples and max_tokens must be at least 1", t.Caller)
		}
	}
	return nil
}

func (x *Experiment) length() time.Duration { return time.Duration(x.Seconds * float64(time.Second)) }

// options returns the plan of a variant.
func (x *Experiment) options(v Variant) deployment.Options {
	return deployment.Options{
		Preset: x.Preset, VMsPerZone: x.VMsPerZone, Rates: x.Rates, FetchMs: x.FetchMs, LoadRate: x.LoadRate,
		Policy: v.Policy, DrainTimeoutMs: experimentDrainMs, BalancerLagMs: 1,
	}
}

// experimentDrainMs bounds the stop of a gate after a run.
const experimentDrainMs = 1000
