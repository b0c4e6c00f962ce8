package batch

import (
	"context"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// start sends waiting items to engines while there is room.
func (r *runner) start(ctx context.Context, snap *fleet.Snapshot) {
	now := time.Now()
	fields := map[string]*field{}
	hosts := map[string]map[string]int{} // engines by group
	var tasks []*task
	for _, jobs := range r.jobs {
		var route *fleet.Route
		var pool *fleet.Pool
		var pace time.Duration
		for _, j := range jobs {
			if route == nil {
				if route = snap.Tables.Match(j.sub.Host, j.sub.Path); route == nil {
					break // the items wait for their route
				}
				if pool = snap.Tables.Pool(route.Pool); pool == nil {
					break
				}
				if fields[pool.Name] == nil {
					fields[pool.Name] = r.engines.field(now, pool.Name)
					fields[pool.Name].wanted = r.least
				}
				pace = r.engines.typicalPace(pool.Name)
			}
			if j.on != nil {
				countHost(hosts, j)
				r.moveIfSlow(now, fields[pool.Name], j, pool)
			}
			if j.state != waiting || now.Before(j.notBefore) {
				continue
			}
			if j.whole {
				j.whole, j.state = false, scoring
				go r.finish(j)
				continue
			}
			tasks = append(tasks, &task{
				job: j, route: route, due: time.UnixMilli(j.sub.AcceptedMs).Add(route.RunDeadline),
				need: time.Duration(j.left(tokensPerEvent(pool))) * pace, carried: j.carried,
			})
		}
	}
	r.place(ctx, now, tasks, fields, hosts)
}

func tokensPerEvent(p *fleet.Pool) int {
	if p.Engine == nil {
		return 1
	}
	return p.Engine.TokensPerEvent
}

func groupKey(j *job) string { return j.sub.ID + "/" + j.item.Group }

func countHost(hosts map[string]map[string]int, j *job) {
	key := groupKey(j)
	if hosts[key] == nil {
		hosts[key] = map[string]int{}
	}
	hosts[key][j.on.Name]++
}

// place sends the tasks that find an engine, the most urgent first.
func (r *runner) place(ctx context.Context, now time.Time, tasks []*task, fields map[string]*field, hosts map[string]map[string]int) {
	room := 0
	for _, f := range fields {
		room += len(f.free)
	}
	clear(r.short)
	if len(tasks) == 0 {
		return
	}
	if room == 0 {
		for _, t := range tasks {
			r.short[t.job.sub.Model] = true
		}
		r.tellShort(now, tasks[0], len(tasks))
		return
	}
	sortTasks(now, tasks)
	var short *task
	for _, t := range tasks {
		j, f := t.job, fields[t.route.Pool]
		q := request{
			pool: t.route.Pool, model: j.sub.Model, least: j.sub.MinVersion, az: r.az, hosts: hosts[groupKey(j)], avoid: j.avoid,
		}
		e := f.choose(q)
		if e == nil && q.avoid != "" {
			q.avoid = ""
			e = f.choose(q)
		}
		if e == nil {
			r.short[j.sub.Model] = true
			if short == nil {
				short = t
			}
			continue
		}
		r.send(ctx, j, t.route, e)
		countHost(hosts, j)
		f.taken(e)
	}
	if short != nil {
		r.tellShort(now, short, len(tasks))
	}
}

// tellShort logs why engines do not take an item that waits, at most once in shortEvery.
func (r *runner) tellShort(now time.Time, t *task, items int) {
	if now.Sub(r.toldShort) < shortEvery {
		return
	}
	r.toldShort = now
	j := t.job
	n := r.engines.shortage(now, request{pool: t.route.Pool, model: j.sub.Model, least: j.sub.MinVersion})
	r.log.Info("items_wait", "batch", j.sub.ID, "items", items, "engines", n.engines, "cooling", n.cooling, "loading", n.blocked, "old_version", n.old, "full", n.full)
}

// shortEvery bounds how often a runner tells why items wait.
const shortEvery = time.Second

// minRun is how long an item stays on an engine before it may be moved: a few events show the pace.
const minRun = 400 * time.Millisecond

// moveIfSlow ends a run on a slow engine where a faster one has room; it continues there.
func (r *runner) moveIfSlow(now time.Time, f *field, j *job, pool *fleet.Pool) {
	if j.state != running || j.moving || now.Sub(j.startedAt) < minRun {
		return
	}
	e := r.engines.get(j.on)
	if e == nil {
		return // its registration is gone; it may still end its runs
	}
	q := request{pool: pool.Name, model: j.sub.Model, least: j.sub.MinVersion, az: r.az, avoid: j.on.Name}
	if f.slower(e, j.left(tokensPerEvent(pool)), q) {
		j.moving, j.avoid = true, j.on.Name
		j.cancel()
	}
}

// send starts a run of a job on an engine. The runner's lock is held.
func (r *runner) send(ctx context.Context, j *job, route *fleet.Route, e *engine) {
	j.resumable(route.SingleVersion)
	rctx, cancel := context.WithCancel(ctx)
	j.state, j.on, j.cancel, j.startedAt = running, e.instance, cancel, time.Now()
	r.engines.started(e.instance)
	header := make(http.Header, len(j.item.Header))
	for name, value := range j.item.Header {
		header.Set(name, value)
	}
	call := &targets.Call{
		Instance: e.instance, Method: http.MethodPost, Host: route.Host, URI: j.item.Path, Header: header, Body: j.item.Body,
		RequestID: j.item.ID, Priority: targets.NoPriority, ResumeAfter: int64(len(j.text)),
	}
	go r.attempt(rctx, cancel, j, route, call)
}
