package batch

import (
	"context"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// startWaiting starts waiting items on engines with free slots, and moves running items from slow to fast engines.
func (r *runner) startWaiting(ctx context.Context, snap *fleet.Snapshot) {
	now := time.Now()
	byPool := map[string]*candidates{}
	groupEngines := map[string]map[string]int{} // running items by group and engine
	runningSuspects := map[string]bool{}        // by fingerprint
	var tasks []*task
	for _, jobs := range r.jobs {
		r.scoreComplete(ctx, jobs)
		var route *fleet.Route
		var pool *fleet.Pool
		var interval time.Duration
		for _, j := range jobs {
			if route == nil {
				if route = j.head.route(snap.Tables); route == nil {
					break // the items wait until there is a route
				}
				if pool = snap.Tables.Pool(route.Pool); pool == nil {
					break
				}
				if byPool[pool.Name] == nil {
					byPool[pool.Name] = r.candidates(now, pool.Name)
				}
				interval = r.engines.meanInterval(pool.Name)
			}
			if j.instance != nil {
				countGroupEngine(groupEngines, j)
				if j.suspect {
					runningSuspects[j.fingerprint] = true
				}
				r.moveIfSlow(now, byPool[pool.Name], j, route, pool)
			}
			if j.state != jobWaiting || now.Before(j.notBefore) {
				continue
			}
			if j.hasFailed(snap.Tables) { // its route was not known when it failed, or allowed more failures
				r.abandon(j)
				continue
			}
			admission := r.crashes.AdmitItem(j.fingerprint)
			if admission.Rejected {
				r.logHeld(j, admission.Reason)
				continue
			}
			tasks = append(tasks, &task{
				suspect: admission.Suspect && !j.begins, job: j, route: route, deadline: time.UnixMilli(j.head.AcceptedMs).Add(route.RunDeadline),
				estimate: time.Duration(j.remainingEvents(tokensPerEvent(pool))) * interval, repeatTime: time.Duration(len(j.events)) * interval,
				resubmittedGroup: j.resubmittedGroup, tokensPerEvent: tokensPerEvent(pool),
			})
		}
	}
	r.placeTasks(ctx, now, tasks, byPool, groupEngines, runningSuspects)
}

// scoreComplete starts to score the texts that were complete when they were read from the log. They need no engine, and so no route.
func (r *runner) scoreComplete(ctx context.Context, jobs map[string]*job) {
	for _, j := range jobs {
		if j.state == jobWaiting && j.textComplete {
			j.textComplete, j.state = false, jobScoring
			go r.finishItem(ctx, j)
		}
	}
}

// candidates returns the engines of a pool to which a request may be sent now.
func (r *runner) candidates(now time.Time, pool string) *candidates {
	c := r.engines.candidates(now, pool)
	c.minVersions = r.minVersions
	for _, e := range c.free {
		if r.limiter.Limited(e.instance) {
			if c.rateLimited == nil {
				c.rateLimited = map[*engine]bool{}
			}
			c.rateLimited[e] = true
		}
	}
	return c
}

// logHeld logs once that an item is held back because engines crashed while they ran it.
func (r *runner) logHeld(j *job, reason string) {
	if !j.heldLogged {
		j.heldLogged = true
		r.log.Warn("item_held", "id", j.item.ID, "batch", j.head.ID, "content", j.fingerprint, "reason", reason)
	}
}

func tokensPerEvent(p *fleet.Pool) int {
	if p.Engine == nil {
		return 1
	}
	return p.Engine.TokensPerEvent
}

func groupKey(j *job) string { return j.head.ID + "/" + j.item.Group }

func countGroupEngine(groupEngines map[string]map[string]int, j *job) {
	key := groupKey(j)
	if groupEngines[key] == nil {
		groupEngines[key] = map[string]int{}
	}
	groupEngines[key][j.instance.Name]++
}

// placeTasks starts the tasks for which there is an engine, the most urgent first.
func (r *runner) placeTasks(ctx context.Context, now time.Time, tasks []*task, byPool map[string]*candidates, groupEngines map[string]map[string]int, runningSuspects map[string]bool) {
	freeEngines := 0
	for _, c := range byPool {
		freeEngines += len(c.free)
	}
	clear(r.waitingModels)
	if len(tasks) == 0 {
		return
	}
	if freeEngines == 0 {
		for _, t := range tasks {
			r.waitingModels[t.job.head.Model] = true
		}
		r.logShortage(now, tasks[0], len(tasks), 0)
		return
	}
	sortTasks(now, tasks)
	var unplaced *task
	ahead := map[versionKey]int{} // items that wait for an engine with the version of their text
	for i := range tasks {
		r.bringFollower(now, byPool[tasks[i].route.Pool], tasks[i:])
		t := tasks[i]
		j, c := t.job, byPool[t.route.Pool]
		if t.suspect && runningSuspects[j.fingerprint] {
			continue // items with equal content are tried one after the other
		}
		j.dropTextIfNotAllowed(t.route.SingleVersion)
		req := r.requirements(now, t, groupEngines[groupKey(j)])
		if req.continuing && !r.engines.canContinue(now, req, t.repeatTime) {
			r.restartText(j, &req)
		}
		e := r.chooseWithPermit(c, req, len(tasks)-i)
		if e == nil && req.avoidInstance != "" {
			req.avoidInstance = ""
			e = r.chooseWithPermit(c, req, len(tasks)-i)
		}
		if e == nil && req.textVersion != 0 {
			key := versionKey{req.pool, req.model, req.textVersion}
			if r.restartsSooner(now, t, req, ahead[key]) && c.choose(req.anyVersion()) != nil {
				r.restartText(j, &req)
				e = r.chooseWithPermit(c, req, len(tasks)-i)
			} else {
				ahead[key]++
			}
		}
		if e == nil {
			r.waitingModels[j.head.Model] = true
			if unplaced == nil {
				unplaced = t
			}
			continue
		}
		r.send(ctx, t, e)
		countGroupEngine(groupEngines, j)
		if t.suspect {
			runningSuspects[j.fingerprint] = true
		}
		c.removeIfUnavailable(e)
	}
	if unplaced != nil {
		r.logShortage(now, unplaced, len(tasks), byPool[unplaced.route.Pool].atRateLimit)
	}
}

// restartText drops an item's text, so that any engine may run it whose weights its submission accepts.
func (r *runner) restartText(j *job, req *requirements) {
	r.log.Info("text_restarted", "id", j.item.ID, "batch", j.head.ID, "events", len(j.events), "software", j.software, "version", req.textVersion)
	r.outcomes.Add("restarted", 1)
	j.dropText()
	*req = req.anyVersion()
}

// requirements returns the requirements of an item. groupEngines counts the running items of its group by engine.
func (r *runner) requirements(now time.Time, t *task, groupEngines map[string]int) requirements {
	j := t.job
	req := requirements{
		pool: t.route.Pool, model: j.head.Model, minVersion: j.head.MinVersion, az: r.az, groupEngines: groupEngines, avoidInstance: j.avoidInstance,
		continuing: len(j.events) > 0, software: j.software, textVersion: j.textVersion(t.route.SingleVersion),
	}
	r.setPrompt(&req, now, t)
	return req
}

// chooseWithPermit chooses an engine and, if that has named a rate limit, takes a permit for one request to it. Engines without a
// permit are left out for the rest of the pass. waiting is the number of items that wait.
func (r *runner) chooseWithPermit(c *candidates, req requirements, waiting int) *engine {
	for {
		e := c.choose(req)
		if e == nil || !c.rateLimited[e] || r.limiter.TryAcquire(e.instance, true, min(waiting, e.freeSlots(c.now))) {
			return e
		}
		c.remove(e)
		c.atRateLimit++
	}
}

// logShortage logs why no engine can run a waiting item, at most once per shortageLogInterval.
func (r *runner) logShortage(now time.Time, t *task, items, atRateLimit int) {
	if now.Sub(r.shortageLoggedAt) < shortageLogInterval {
		return
	}
	r.shortageLoggedAt = now
	j := t.job
	counts := r.engines.countShortage(now, requirements{pool: t.route.Pool, model: j.head.Model, minVersion: j.head.MinVersion})
	r.log.Info("items_wait", "batch", j.head.ID, "items", items, "engines", counts.engines,
		"cooling", counts.coolingDown, "loading", counts.blocked, "old_version", counts.oldVersion, "full", counts.full, "at_limit", atRateLimit)
}

const shortageLogInterval = time.Second

// minRunBeforeMove is how long an item runs on an engine before it may be moved, so that a few event intervals are
// measured first.
const minRunBeforeMove = 400 * time.Millisecond

// moveIfSlow cancels a run on a slow engine if a faster one has free slots, to continue it there.
func (r *runner) moveIfSlow(now time.Time, c *candidates, j *job, route *fleet.Route, pool *fleet.Pool) {
	if j.state != jobRunning || j.moving || now.Sub(j.startedAt) < minRunBeforeMove {
		return
	}
	e := r.engines.get(j.instance)
	if e == nil {
		return // no longer registered, but may still complete its runs
	}
	req := requirements{
		pool: pool.Name, model: j.head.Model, minVersion: j.head.MinVersion, az: r.az, avoidInstance: j.instance.Name,
		continuing: len(j.events) > 0, software: j.software, textVersion: j.textVersion(route.SingleVersion), withoutRateLimit: true,
	}
	if c.shouldMove(e, j.remainingEvents(tokensPerEvent(pool)), req) {
		j.moving, j.avoidInstance = true, j.instance.Name
		j.cancel()
	}
}

// send starts a run of an item on an engine. The runner's lock is held.
func (r *runner) send(ctx context.Context, t *task, e *engine) {
	j, route := t.job, t.route
	j.suspect, e.isolated = t.suspect, t.suspect
	runCtx, cancel := context.WithCancel(ctx)
	j.state, j.instance, j.cancel, j.startedAt = jobRunning, e.instance, cancel, time.Now()
	j.firstEventAt, j.lastEventAt, j.versionWaitSince, j.via, j.begins = time.Time{}, time.Time{}, time.Time{}, "", false
	r.startPrompt(j, e, j.startedAt, t.tokensPerEvent)
	r.engines.requestStarted(e.instance)
	header := make(http.Header, len(j.item.Header))
	for name, value := range j.item.Header {
		header.Set(name, value)
	}
	call := &targets.Call{
		Instance: e.instance, Method: http.MethodPost, Host: route.Host, URI: j.item.Path, Header: header, Body: j.item.Body,
		RequestID: j.item.ID, Organisation: j.head.Organisation, Priority: targets.NoPriority, ResumeAfter: int64(len(j.events)),
	}
	go r.attempt(ctx, runCtx, cancel, j, call)
}
