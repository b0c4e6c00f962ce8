package batch

import (
	"context"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/forward"
)

// finish scores a whole text and appends its result.
func (r *runner) finish(j *job) {
	score, failed := "", false
	if s := j.item.Scorer; s != nil {
		var ok bool
		if score, ok = r.score(j, s); !ok {
			return
		}
		failed = score == ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.state != scoring {
		return
	}
	if failed {
		r.abandon(j)
		return
	}
	j.state = settled
	l, text := j.result(score)
	r.list(j.part, j.sub.ID, l, text)
}

// score calls the scorer until it succeeds. An empty score means that it failed as often as the
// route allows; ok is false if the submission has ended meanwhile.
func (r *runner) score(j *job, s *Scorer) (score string, ok bool) {
	for {
		r.mu.Lock()
		open := j.state == scoring && r.jobs[j.sub.ID][j.item.ID] == j
		r.mu.Unlock()
		if !open {
			return "", false
		}
		ctx, cancel := context.WithTimeout(context.Background(), scoreBudget)
		reply := r.fwd.Serve(ctx, &forward.Request{
			ID: s.ID, Method: http.MethodPost, Host: s.Host, Path: s.Path, URI: s.Path, Header: http.Header{}, Body: s.Body, Budget: scoreBudget,
		})
		if reply.Body != nil {
			reply.Body.Close()
		}
		cancel()
		if reply.Status/100 == 2 && reply.Proof != "" {
			return reply.Proof, true
		}
		j.scorerErrors += reply.ServerErrors
		attempts := 1
		if snap := r.view.Get(); snap.Tables != nil {
			if route := snap.Tables.Match(s.Host, s.Path); route != nil {
				attempts = route.MaxAttempts
			}
		}
		if j.scorerErrors >= attempts {
			return "", true
		}
		time.Sleep(max(itemRetry, reply.RetryAfter))
	}
}
