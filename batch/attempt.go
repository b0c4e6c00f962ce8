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

// ending tells how a run of an item ended.
type ending string

const (
	whole       ending = "whole"
	brokenOff   ending = "broken off"
	stalled     ending = "stalled"
	notRun      ending = "not run"
	moved       ending = "moved"
	oldVersion  ending = "old version"
	engineError ending = "engine error"
	impossible  ending = "impossible"
	ended       ending = "ended by the submission"
)

// attempt runs an item once and settles what follows.
func (r *runner) attempt(ctx context.Context, cancel context.CancelFunc, j *job, route *fleet.Route, call *targets.Call) {
	defer cancel()
	how, err := r.stream(ctx, cancel, j, call)
	r.mu.Lock()
	now := time.Now()
	if how == brokenOff && j.moving {
		how = moved
	} else if how == brokenOff && ctx.Err() != nil {
		how = ended
	}
	j.moving = false
	r.engines.ended(call.Instance)
	j.on, j.cancel = nil, nil
	r.outcomes.Add(string(how), 1)
	if how == whole {
		r.seconds.Observe(now.Sub(j.startedAt))
	}
	r.log.Info("item_run", "id", j.item.ID, "batch", j.sub.ID, "target", call.Instance.Name, "from_event", call.ResumeAfter, "events", len(j.text),
		"versions", j.distinct(), "ms", now.Sub(j.startedAt).Milliseconds(), "outcome", string(how), "err", err)
	if j.state != running {
		r.mu.Unlock()
		return // dropped meanwhile
	}
	switch how {
	case whole:
		j.state = scoring
		r.mu.Unlock()
		r.finish(j)
		r.wake()
		return
	case notRun, oldVersion:
		r.engines.block(call.Instance, j.sub.Model, now.Add(fullPause))
		j.notBefore = now.Add(itemRetry / 2)
	case moved:
	case brokenOff, stalled:
		r.engines.failed(now, call.Instance)
		j.avoid = call.Instance.Name
		j.notBefore = now.Add(itemRetry)
	case engineError:
		j.errors++
		j.avoid = call.Instance.Name
		j.notBefore = now.Add(itemRetry)
	}
	j.state = waiting
	if how == impossible || j.errors >= max(1, route.MaxAttempts) {
		r.abandon(j)
	}
	r.mu.Unlock()
	r.wake()
}

// stream sends the call and takes its events into the job's text.
func (r *runner) stream(ctx context.Context, cancel context.CancelFunc, j *job, call *targets.Call) (ending, error) {
	var silent atomic.Bool
	watchdog := time.AfterFunc(firstEventWait, func() {
		silent.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	broken := func(err error) (ending, error) {
		if !watchdog.Stop() && silent.Load() {
			return stalled, err
		}
		return brokenOff, err
	}
	a, err := r.client.Do(ctx, call)
	if err != nil {
		return broken(err)
	}
	defer a.Body.Close()
	r.mu.Lock()
	r.engines.loaded(time.Now(), call.Instance, a.Load)
	r.engines.versioned(call.Instance, j.sub.Model, a.Version)
	r.mu.Unlock()
	switch {
	case a.NotRun:
		return notRun, nil
	case a.Status == http.StatusUnprocessableEntity:
		return impossible, nil
	case a.Status == http.StatusInternalServerError:
		return engineError, nil
	case a.Status != http.StatusOK:
		return brokenOff, errors.New(http.StatusText(a.Status))
	case a.Version > 0 && a.Version < j.sub.MinVersion:
		r.mu.Lock()
		r.engines.unversioned(call.Instance, j.sub.Model, a.Version)
		r.mu.Unlock()
		return oldVersion, nil
	}
	events := r.client.Events(a.Body)
	version, last := a.Version, time.Now()
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return broken(err)
		}
		now := time.Now()
		watchdog.Reset(eventWait)
		if ev.Version > 0 {
			version = ev.Version
		}
		r.mu.Lock()
		if j.state != running {
			r.mu.Unlock()
			return ended, nil
		}
		if ev.ID != int64(len(j.text))+1 {
			r.mu.Unlock()
			return brokenOff, errors.New("the events are out of order")
		}
		j.text = append(j.text, ev.Data)
		j.versions = append(j.versions, version)
		if ev.ID > call.ResumeAfter+1 {
			r.engines.paced(now, call.Instance, now.Sub(last))
		}
		if ev.Version > 0 {
			r.engines.versioned(call.Instance, j.sub.Model, ev.Version)
		}
		r.mu.Unlock()
		last = now
	}
}
