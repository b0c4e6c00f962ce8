// Package rollout runs trainers' steps: it fills the slots of a step with samples from the engines,
// has them scored and hands whole, fresh groups over to the trainer that pulls them.
//
// Step is the pure core of one step; Manager is the shell that keeps the steps of a gate.
package rollout

import "time"

// Bounds of what a trainer may hand in.
const (
	MaxGroups      = 8192
	MaxSlots       = 16384
	MaxPromptBytes = 256 << 10
	MaxTokens      = 128 << 10
	MaxIDBytes     = 128
	// MaxSpecBytes bounds the body of a step.
	MaxSpecBytes = 32 << 20
	// MaxPullBytes bounds the body of a pull.
	MaxPullBytes = 64 << 10
	// MaxAnswerBytes bounds the samples of a pull's answer and of a handover message, roughly.
	MaxAnswerBytes = 8 << 20
	// bytesPerToken and bytesPerSample are the sizes in JSON that such bounds assume.
	bytesPerToken  = 12
	bytesPerSample = 256
	// MaxPullWait bounds how long a pull is held open.
	MaxPullWait = 20 * time.Second
)

// Bounds of what a gate keeps.
const (
	// MaxSteps bounds the live steps of a gate.
	MaxSteps = 64
	// MaxStepsPerTrainer bounds the live steps of one trainer on a gate.
	MaxStepsPerTrainer = 8
	// MaxWaitingPulls bounds the pulls that wait on one step.
	MaxWaitingPulls = 16
	// MaxFinished bounds the finished and moved steps that a gate remembers.
	MaxFinished = 1024
	// IdleTimeout is how long a step lives without a pull.
	IdleTimeout = 5 * time.Minute
	// ExpiredGrace is how long a step past its deadline still hands over what is whole.
	ExpiredGrace = 30 * time.Second
)

// Bounds of the work on one step.
const (
	// MinWindow and MaxWindow bound the attempts in flight.
	MinWindow = 4
	MaxWindow = 4096
	// MaxScoring bounds the score calls in flight.
	MaxScoring = 64
	// MinBackoff and MaxBackoff bound the wait after a failed attempt or score call.
	MinBackoff = 50 * time.Millisecond
	MaxBackoff = 5 * time.Second
	// TickInterval is how often a step looks at time, versions and stragglers.
	TickInterval = 50 * time.Millisecond
	// StatsSize bounds the finished attempts that estimates are made of.
	StatsSize = 512
)

// Bounds of hedging.
const (
	// MinHedgeGain is the smallest expected gain that is worth a second attempt.
	MinHedgeGain = 100 * time.Millisecond
	// MinHedgeStats is the number of finished attempts below which nothing is hedged.
	MinHedgeStats = 4
	// MinHedgeStatsPercent is the share of a step's slots that must have finished before, in this
	// step or earlier ones, in percent: the first to finish are the short ones.
	MinHedgeStatsPercent = 25
	// MaxStuck and MaxStuckPercent bound the attempts without a token that count as stuck; more are
	// a queue.
	MaxStuck        = 2
	MaxStuckPercent = 10
	// HedgePercent is the share of further attempts in the slots of a step, in percent.
	HedgePercent = 50
	// MinHedges is the number of further attempts that each step may make.
	MinHedges = 2
	// MaxAttemptsPerSlot bounds the attempts that run on one slot.
	MaxAttemptsPerSlot = 2
)
