package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// runOutcome is the outcome of a run of an item, as logged and counted in item_runs.
type runOutcome string

const (
	outcomeComplete    runOutcome = "whole"
	outcomeInterrupted runOutcome = "broken off"
	outcomeStalled     runOutcome = "stalled"
	outcomeNotRun      runOutcome = "not run"
	outcomeMoved       runOutcome = "moved"
	outcomeOldVersion  runOutcome = "old version"
	// outcomeOtherVersion means that the engine runs another weight version than the text has, on a route that allows only one.
	outcomeOtherVersion runOutcome = "other version"
	outcomeEngineError  runOutcome = "engine error"
	outcomeRejected     runOutcome = "impossible"
	outcomeCanceled     runOutcome = "ended by the submission"
)

// attempt runs an item once and sets the state of its job according to the outcome. runCtx ends with the run; scoring goes
// on until ctx ends, as a run may be canceled just after its last event.
func (r *runner) attempt(ctx, runCtx context.Context, cancel context.CancelFunc, j *job, call *targets.Call) {
	defer cancel()
	outcome, err := r.stream(runCtx, cancel, j, call, j.head.singleVersion(r.view.Get().Tables))
	r.mu.Lock()
	tables := r.view.Get().Tables // may have changed during the run
	now := time.Now()
	if outcome == outcomeInterrupted && j.moving {
		outcome = outcomeMoved
	} else if outcome == outcomeInterrupted && runCtx.Err() != nil {
		outcome = outcomeCanceled
	} else if outcome == outcomeComplete && j.head.singleVersion(tables) && len(j.distinctVersions()) > 1 {
		outcome = outcomeOtherVersion // the text began before the route allowed only one
	}
	j.moving = false
	r.endIsolation(j, call.Instance)
	held := r.endPrompt(now, j)
	r.engines.requestEnded(call.Instance)
	j.instance, j.cancel = nil, nil
	r.outcomes.Add(string(outcome), 1)
	if outcome == outcomeComplete {
		r.durations.Observe(now.Sub(j.startedAt))
	}
	r.log.Info("item_run", "id", j.item.ID, "batch", j.head.ID, "target", call.Instance.Name, "via", j.via, "software", call.Instance.SoftwareVersion, "text_software", j.software, "from_event", call.ResumeAfter, "events", len(j.events),
		"versions", j.distinctVersions(), "ms", now.Sub(j.startedAt).Milliseconds(), "first_ms", j.firstEventDelay().Milliseconds(),
		"silent_ms", j.silence(now).Milliseconds(), "held_tokens", held, "outcome", string(outcome), "err", err)
	if j.state != jobRunning {
		r.mu.Unlock()
		return // canceled in the meantime
	}
	switch outcome {
	case outcomeComplete:
		j.state, j.textCompleteAt = jobScoring, now
		r.mu.Unlock()
		r.finishItem(ctx, j)
		r.wake()
		return
	case outcomeNotRun, outcomeOldVersion:
		r.engines.block(call.Instance, j.head.Model, now.Add(blockedPause))
		j.notBefore = now.Add(itemRetryDelay / 2)
	case outcomeOtherVersion:
		j.dropTextIfNotAllowed(true)
		j.notBefore = now.Add(itemRetryDelay / 2)
	case outcomeMoved:
	case outcomeInterrupted, outcomeStalled:
		r.engines.recordFailure(now, call.Instance)
		j.avoidInstance = call.Instance.Name
		j.notBefore = now.Add(itemRetryDelay)
	case outcomeEngineError:
		j.engineErrors++
		r.saveErrors(j)
		j.avoidInstance = call.Instance.Name
		j.notBefore = now.Add(itemRetryDelay)
	}
	j.state = jobWaiting
	if outcome == outcomeRejected || j.hasFailed(tables) {
		r.abandon(j)
	}
	r.mu.Unlock()
	r.wake()
}

// endIsolation lets other items run beside a suspect. The caller holds the lock.
func (r *runner) endIsolation(j *job, in *fleet.Instance) {
	if j.suspect {
		j.suspect = false
		r.engines.setIsolated(in, false)
	}
}

// stream sends the call and appends the events of the response to the job. A run that breaks off may have crashed the engine; a whole
// one has not.
// If singleVersion is set, a text gets no events of a second weight version.
func (r *runner) stream(ctx context.Context, cancel context.CancelFunc, j *job, call *targets.Call, singleVersion bool) (runOutcome, error) {
	var timedOut atomic.Bool
	slowdown := r.slowdown(call.Instance)
	watchdog := time.AfterFunc(time.Duration(slowdown*float64(firstEventTimeout)), func() {
		timedOut.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	begun := false // an event has come
	interrupted := func(err error) (runOutcome, error) {
		if !watchdog.Stop() && timedOut.Load() {
			return outcomeStalled, err
		}
		if targets.Sent(err) && ctx.Err() == nil {
			if begun {
				go r.crashes.RunBroken(j.fingerprint, call.Instance) // the text goes on elsewhere meanwhile
			} else {
				r.crashes.RunBroken(j.fingerprint, call.Instance)
			}
		}
		return outcomeInterrupted, err
	}
	response, err := r.client.Do(ctx, call)
	if err != nil {
		return interrupted(err)
	}
	defer response.Body.Close()
	r.mu.Lock()
	j.via = response.Via
	textVersion := j.textVersion(singleVersion)
	r.engines.observeLoad(time.Now(), call.Instance, response.Load)
	r.engines.observeVersion(call.Instance, j.head.Model, response.Version)
	r.mu.Unlock()
	slowdown = r.slowdown(call.Instance)
	if response.Status >= http.StatusBadRequest && !response.NotExecuted {
		r.crashes.Answered(j.fingerprint)
	}
	switch {
	case response.NotExecuted:
		return outcomeNotRun, nil
	case response.Status == http.StatusUnprocessableEntity:
		return outcomeRejected, nil
	case response.Status == http.StatusInternalServerError:
		return outcomeEngineError, nil
	case response.Status != http.StatusOK:
		return outcomeInterrupted, errors.New(http.StatusText(response.Status))
	case response.Version > 0 && response.Version < j.head.MinVersion:
		r.mu.Lock()
		r.engines.resetVersion(call.Instance, j.head.Model, response.Version)
		r.mu.Unlock()
		return outcomeOldVersion, nil
	case response.Version > 0 && textVersion > 0 && response.Version != textVersion:
		r.mu.Lock()
		r.engines.resetVersion(call.Instance, j.head.Model, response.Version)
		r.mu.Unlock()
		return outcomeOtherVersion, nil
	}
	events := r.client.Events(response.Body)
	version, lastEventAt := response.Version, time.Now()
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			r.crashes.Answered(j.fingerprint)
			return outcomeComplete, nil
		}
		if err != nil {
			return interrupted(err)
		}
		now := time.Now()
		watchdog.Reset(time.Duration(slowdown * float64(eventTimeout)))
		if ev.Version > 0 {
			version = ev.Version
		}
		r.mu.Lock()
		if j.state != jobRunning {
			r.mu.Unlock()
			return outcomeCanceled, nil
		}
		if ev.ID != int64(len(j.events))+1 {
			r.mu.Unlock()
			return outcomeInterrupted, errors.New("the engine sent events out of order")
		}
		if j.item.Tokens > 0 && len(j.events) >= j.item.Tokens {
			r.mu.Unlock()
			return outcomeInterrupted, errors.New("the engine sent more events than the item has tokens")
		}
		if text := j.textVersion(singleVersion); text > 0 && version != text {
			r.engines.observeVersion(call.Instance, j.head.Model, version)
			r.mu.Unlock()
			return outcomeOtherVersion, nil
		}
		if len(j.events) == 0 {
			j.software = call.Instance.SoftwareVersion
		}
		j.events = append(j.events, ev.Data)
		j.versions = append(j.versions, version)
		if j.firstEventAt.IsZero() {
			j.firstEventAt = now
			r.observeFirstEvent(j, call)
			r.endIsolation(j, call.Instance)
			begun, j.begins = true, true
		}
		j.lastEventAt = now
		if ev.ID > call.ResumeAfter+1 {
			r.engines.observeInterval(now, call.Instance, now.Sub(lastEventAt))
		}
		if ev.Version > 0 {
			r.engines.observeVersion(call.Instance, j.head.Model, ev.Version)
		}
		r.mu.Unlock()
		lastEventAt = now
	}
}
