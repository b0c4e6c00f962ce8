// Package rollout runs trainers' steps: it generates a sample for each slot of a step on the engines, calls the
// step's scorer and returns complete, fresh groups to the trainer that pulls them.
//
// Step is the state machine of one step and does no I/O. Manager owns the steps of a gate and does their I/O.
package rollout

import "time"

// Limits of requests from trainers.
const (
	MaxGroups      = 8192
	MaxSlots       = 16384
	MaxPromptBytes = 256 << 10
	MaxTokens      = 128 << 10
	MaxIDBytes     = 128
	// MaxSpecBytes limits the body of a step submission.
	MaxSpecBytes = 32 << 20
	// MaxPullBytes limits the body of a pull request.
	MaxPullBytes = 64 << 10
	// MaxAnswerBytes limits the estimated size of the samples in a pull response or a handover message.
	MaxAnswerBytes = 8 << 20
	// bytesPerToken and bytesPerSample are the JSON sizes assumed in that estimate.
	bytesPerToken  = 12
	bytesPerSample = 256
	// MaxPullWait limits how long a pull is held open.
	MaxPullWait = 20 * time.Second
)

// Limits of the state that a gate keeps.
const (
	// MaxSteps limits the live steps of a gate.
	MaxSteps = 64
	// MaxStepsPerTrainer limits the live steps of one trainer on a gate.
	MaxStepsPerTrainer = 8
	// MaxWaitingPulls limits the queued pulls of one step.
	MaxWaitingPulls = 16
	// MaxEndedSteps limits the records of finished and handed-over steps, and of trainers' histories.
	MaxEndedSteps = 1024
	// IdleTimeout is the time without a pull after which a step expires.
	IdleTimeout = 5 * time.Minute
	// DeadlineGrace is how long complete groups can still be pulled after a step's deadline.
	DeadlineGrace = 30 * time.Second
)

// Limits of the work on one step.
const (
	// MinWindow and MaxWindow limit the window of attempts in flight; refusals can shrink it below MinWindow.
	MinWindow = 4
	MaxWindow = 4096
	// MaxScoreCalls limits the score calls in flight.
	MaxScoreCalls = 64
	// MinBackoff and MaxBackoff limit the delay before a failed attempt or score call is retried.
	MinBackoff = 50 * time.Millisecond
	MaxBackoff = 5 * time.Second
	// TickInterval is how often a step checks its deadline, versions, progress and stragglers.
	TickInterval = 50 * time.Millisecond
	// MaxRecentAttempts limits the finished attempts from which durations are estimated.
	MaxRecentAttempts = 512
)

// Limits of hedging.
const (
	// MinHedgeGain is the minimum expected gain in step time that justifies a hedge.
	MinHedgeGain = 100 * time.Millisecond
	// MinHedgeFinished is the number of finished attempts required before hedging starts.
	MinHedgeFinished = 4
	// MinHedgeFinishedPercent is the number of finished attempts, of this step or earlier ones, required
	// before hedging starts, in percent of the step's slots. The first attempts to finish are the short ones
	// and would bias the estimates.
	MinHedgeFinishedPercent = 25
	// MaxStuckAttempts and MaxStuckPercent (of the attempts in flight) limit how many attempts without a token
	// are taken for stuck; if there are more, the pool is assumed to be queueing.
	MaxStuckAttempts = 2
	MaxStuckPercent  = 10
	// HedgePercent limits the hedges of a step, in percent of its slots.
	HedgePercent = 50
	// MinHedges is the number of hedges that every step may start, whatever its size.
	MinHedges = 2
	// MaxAttemptsPerSlot limits the concurrent attempts on one slot.
	MaxAttemptsPerSlot = 2
)
