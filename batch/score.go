package batch

import (
	"context"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/process"
)

// finishItem scores a complete text and appends the result.
func (r *runner) finishItem(ctx context.Context, j *job) {
	score, failed := "", false
	if s := j.item.Scorer; s != nil {
		var ok bool
		if score, ok = r.score(ctx, j, s); !ok {
			return
		}
		failed = score == ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.state != jobScoring {
		return
	}
	if failed {
		r.abandon(j)
		return
	}
	j.state, j.resultQueuedAt = jobResultQueued, time.Now()
	result, text := j.result(score)
	r.appendResult(j.partition, j.head.ID, result, text)
}

// score calls the scorer until it succeeds. The score is empty if the scorer failed as often as its route allows; ok is
// false if the job was closed or ctx ended in the meantime.
func (r *runner) score(ctx context.Context, j *job, s *Scorer) (score string, ok bool) {
	// The deadline is the same at each VM: a successor may send the call again.
	deadline := time.UnixMilli(j.head.AcceptedMs).Add(scoreBudget)
	for ctx.Err() == nil {
		if now := time.Now(); deadline.Sub(now) < scoreTimeout {
			deadline = now.Add(scoreBudget)
		}
		changed := r.view.Changed()
		r.mu.Lock()
		open := j.state == jobScoring && r.jobs[j.head.ID][j.item.ID] == j
		r.mu.Unlock()
		if !open {
			return "", false
		}
		route := r.scorerRoute(s)
		if route == nil {
			r.logUnscored(j)
			waitForChange(ctx, changed, maxScorePause)
			continue
		}
		organisation := ""
		if !route.Public { // scorers' routes are public; a target on another one is told whose item it is
			organisation = j.head.Organisation
		}
		callCtx, cancel := context.WithTimeout(ctx, scoreTimeout)
		reply := r.forwarder.Serve(callCtx, &forward.Request{
			ID: s.ID, Method: http.MethodPost, Host: s.Host, Path: s.Path, URI: s.Path, Header: http.Header{}, Body: s.Body, Budget: scoreTimeout,
			Deadline: deadline, Background: true, Organisation: organisation, Priority: route.Priority,
		})
		if reply.Body != nil {
			reply.Body.Close()
		}
		cancel()
		if reply.Status/100 == 2 && reply.Proof != "" {
			return reply.Proof, true
		}
		r.mu.Lock()
		if reply.ServerErrors > 0 {
			j.scorerErrors += reply.ServerErrors
			r.saveErrors(j)
		}
		failures := j.scorerErrors
		r.mu.Unlock()
		// The tables may have changed during the call. Without a route it is not known how often the scorer may fail.
		if route := r.scorerRoute(s); route != nil && failures >= route.MaxAttempts {
			return "", true
		}
		process.Sleep(ctx, min(max(itemRetryDelay, reply.RetryAfter), maxScorePause))
	}
	return "", false
}

// scorerRoute returns the route of a scoring call, or nil if there is none now. A route of batches takes no such call.
func (r *runner) scorerRoute(s *Scorer) *fleet.Route {
	t := r.view.Get().Tables
	if t == nil {
		return nil
	}
	if route := t.Match(s.Host, s.Path); route != nil && !route.Batch {
		return route
	}
	return nil
}

// logUnscored logs once that an item waits for the route of its scoring call.
func (r *runner) logUnscored(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !j.unscoredLogged {
		j.unscoredLogged = true
		r.log.Warn("item_unscored", "id", j.item.ID, "batch", j.head.ID, "scorer", j.item.scorerID(), "reason", "no route takes the scoring call")
	}
}

// waitForChange waits until a view has changed, for at most limit.
func waitForChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
