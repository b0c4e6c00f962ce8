package batch

import (
	"context"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/config"
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
		r.mu.Lock()
		open := j.state == jobScoring && r.jobs[j.head.ID][j.item.ID] == j
		r.mu.Unlock()
		if !open {
			return "", false
		}
		attempts, priority, organisation := 1, config.PriorityHighest, ""
		if snap := r.view.Get(); snap.Tables != nil {
			if route := snap.Tables.Match(s.Host, s.Path); route != nil {
				attempts, priority = route.MaxAttempts, route.Priority
				if !route.Public { // scorers' routes are public; a target on another one is told whose item it is
					organisation = j.head.Organisation
				}
			}
		}
		callCtx, cancel := context.WithTimeout(ctx, scoreTimeout)
		reply := r.forwarder.Serve(callCtx, &forward.Request{
			ID: s.ID, Method: http.MethodPost, Host: s.Host, Path: s.Path, URI: s.Path, Header: http.Header{}, Body: s.Body, Budget: scoreTimeout,
			Deadline: deadline, Background: true, Organisation: organisation, Priority: priority,
		})
		if reply.Body != nil {
			reply.Body.Close()
		}
		cancel()
		if reply.Status/100 == 2 && reply.Proof != "" {
			return reply.Proof, true
		}
		if reply.ServerErrors > 0 {
			r.mu.Lock()
			j.scorerErrors += reply.ServerErrors
			r.saveErrors(j)
			r.mu.Unlock()
		}
		if j.scorerErrors >= attempts {
			return "", true
		}
		process.Sleep(ctx, min(max(itemRetryDelay, reply.RetryAfter), maxScorePause))
	}
	return "", false
}
