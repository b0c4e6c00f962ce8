package batch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/promptcache"
)

// jobState is the state of an item of an open submission on the VM that runs it.
type jobState int

const (
	jobWaiting jobState = iota
	jobRunning
	jobScoring
	// jobResultQueued means that the result was queued for the log and has not been read back yet.
	jobResultQueued
)

// job runs an item of an open submission. The runner's lock guards it.
type job struct {
	submission *submissionState
	head       *Head
	item       *Item
	partition  *partition
	// fingerprint identifies the content of the item's request.
	fingerprint string
	state       jobState
	// events and versions are the received events and the weight version that generated each.
	events   []string
	versions []int64
	// software is the software version of the engines that generated the events. What two versions generate doesn't fit together.
	software string
	// restarts counts how often the item lost its text and started over at this VM.
	restarts int
	// engineErrors counts the engines' responses with status 500, scorerErrors those of the scorer's targets.
	engineErrors, scorerErrors int
	instance                   *fleet.Instance
	// via is the VM through which the current run goes; empty if it goes directly.
	via              string
	avoidInstance    string
	notBefore        time.Time
	cancel           func()
	resubmittedGroup bool
	startedAt        time.Time
	// firstEventAt and lastEventAt are the times of the first and the newest event of the current run, zero before.
	firstEventAt, lastEventAt time.Time
	// versionWaitSince is since when the item has waited for an engine with the only version of its text; zero if it doesn't.
	versionWaitSince time.Time
	// textCompleteAt and resultQueuedAt are the times at which the text was complete and its result was queued for the log.
	textCompleteAt, resultQueuedAt time.Time
	// begins is set if the item's last run got an event. If its engine crashed later, the item is no suspect of crashing engines as it begins.
	begins bool
	// suspect is set during a run of an item that was running when an engine crashed, until its first event.
	suspect bool
	// heldLogged is set once the log tells that the item is held back, unscoredLogged once it tells that the scoring call has no route.
	heldLogged, unscoredLogged bool
	// moving is set when the run was canceled to continue on a faster engine.
	moving bool
	// prompt is the item's prompt; nil if its parts are unknown.
	prompt *promptcache.Prompt
	// promptRun is the current run in the estimate of the engine's memory; nil if there is none.
	promptRun *promptRun
	// textComplete is set if the text that was read from the log is complete and only needs its score.
	textComplete bool
	// savedEvents is the number of events that were written to the log, the last of them at savedAt.
	savedEvents int
	savedAt     time.Time
}

// distinctVersions returns the weight versions that generated the text, ascending.
func (j *job) distinctVersions() []int64 {
	versions := slices.Clone(j.versions)
	slices.Sort(versions)
	return slices.Compact(versions)
}

// hasUnsavedText reports whether the item has an unfinished text with events that were not written to the log. It may wait for an engine.
func (j *job) hasUnsavedText() bool {
	return (j.state == jobRunning || j.state == jobWaiting) && len(j.events) > j.savedEvents
}

// dropTextIfNotAllowed drops the text if the submission doesn't accept its versions, so that the item starts over.
func (j *job) dropTextIfNotAllowed(singleVersion bool) {
	if !versionsAllowed(j.distinctVersions(), j.head.MinVersion, singleVersion) {
		j.dropText()
	}
}

// hasFailed reports whether engines have failed as often as the item's route allows. Without a route that is not known.
func (j *job) hasFailed(t *fleet.Tables) bool {
	route := j.head.route(t)
	return route != nil && j.engineErrors >= max(1, route.MaxAttempts)
}

// textVersion returns the weight version that generated the text if no other may continue it, or 0.
func (j *job) textVersion(singleVersion bool) int64 {
	if !singleVersion || len(j.versions) == 0 {
		return 0
	}
	return j.versions[0]
}

// dropText drops the text, so that the item starts over.
func (j *job) dropText() {
	if len(j.events) > 0 {
		j.restarts++
	}
	j.events, j.versions, j.savedEvents = nil, nil, 0
}

// writerOf returns the name under which the parts of the current text are saved; parts of another text have another name.
func (j *job) writerOf(process string) string {
	if j.restarts == 0 {
		return process
	}
	return fmt.Sprintf("%s#%d", process, j.restarts)
}

// result returns the item's result and its text.
func (j *job) result(score string) (resultMeta, string) {
	return resultMeta{ItemID: j.item.ID, Versions: j.distinctVersions(), Score: score, ScorerID: j.item.scorerID()}, strings.Join(j.events, "\n")
}

// firstEventDelay returns the time from the start of the current run to its first event, or 0 if there was none.
func (j *job) firstEventDelay() time.Duration {
	if j.firstEventAt.IsZero() {
		return 0
	}
	return j.firstEventAt.Sub(j.startedAt)
}

// silence returns the time since the newest event of the current run, or since its start.
func (j *job) silence(now time.Time) time.Duration {
	if j.lastEventAt.IsZero() {
		return now.Sub(j.startedAt)
	}
	return now.Sub(j.lastEventAt)
}

// abandonedResult returns the result of an abandoned item.
func (j *job) abandonedResult() resultMeta { return resultMeta{ItemID: j.item.ID, Abandoned: true} }

// remainingEvents estimates the number of events that are still to come. An item that nears or exceeds its estimate is
// expected to need at least a fixed fraction of the events so far.
func (j *job) remainingEvents(tokensPerEvent int) int {
	events := typicalEvents
	if j.item.ExpectedTokens > 0 && tokensPerEvent > 0 {
		events = (j.item.ExpectedTokens + tokensPerEvent - 1) / tokensPerEvent
	}
	return max(1, events-len(j.events), len(j.events)/overrunDivisor)
}

// overrunDivisor sets the minimum of remainingEvents: one event for every overrunDivisor received events.
const overrunDivisor = 3

// unsavedProgress returns the events that have not been written to the log yet.
func (j *job) unsavedProgress(writer string) *Progress {
	return &Progress{
		ItemID: j.item.ID, Writer: j.writerOf(writer), From: j.savedEvents, Software: j.software,
		Events: slices.Clone(j.events[j.savedEvents:]), Versions: slices.Clone(j.versions[j.savedEvents:]), Complete: j.state == jobScoring,
		EngineErrors: j.engineErrors, ScorerErrors: j.scorerErrors,
	}
}

// typicalEvents is the expected number of events of an item without an estimate of its tokens.
const typicalEvents = 25
