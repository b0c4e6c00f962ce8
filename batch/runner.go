package batch

import (
	"context"
	"errors"
	"expvar"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/target"
	"github.com/ibistrail/ibistrail/versions"
)

// Times of running items.
const (
	// firstEventWait is how long an engine may take to the first event. Engines get no more requests
	// than they run at once, so a wait means that something is wrong; a start elsewhere costs little.
	firstEventWait = time.Second
	// eventWait is how long an engine may pause between events.
	eventWait = 700 * time.Millisecond
	// saveEvery is how often the text of a long item is written down, so that another VM can go on.
	saveEvery = time.Second
	// initialLoad is how long a load of weights is taken to last before one was measured.
	initialLoad = time.Second
	// loadGain is the weight of a new measurement in the moving average.
	loadGain = 0.3
	// scoreBudget is the time that a scoring call gets.
	scoreBudget = 3 * time.Second
	// itemRetry is the pause before an item whose run failed is tried again.
	itemRetry = 50 * time.Millisecond
	// idleTick is how often a runner with open items looks for work that nothing announced.
	idleTick = 250 * time.Millisecond
)

// Forwarder serves the scoring calls, as it serves callers.
type Forwarder interface {
	Serve(ctx context.Context, req *forward.Request) *forward.Reply
}

// runner runs the items of open submissions in the partitions that this VM owns.
type runner struct {
	view   *fleet.View
	client target.Client
	fwd    Forwarder
	log    *slog.Logger
	az     string
	// list appends a result, and its text unless an earlier record holds it.
	list func(p *partition, submission string, l listing, text string)
	save func(p *partition, submission string, pr *Progress)
	// writer names this process in saved texts.
	writer string

	mu      sync.Mutex
	jobs    map[string]map[string]*job // by submission and item
	parts   map[*partition]bool        // owned
	engines *engines
	seen    *fleet.Snapshot
	// texts are unfinished texts of ended submissions, which may come again.
	texts map[string]leftover
	// short are the models of which items waited for an engine at the last look.
	short map[string]bool
	// toldShort is when a shortage was logged last.
	toldShort time.Time
	// load is how long a load of weights lasts.
	load time.Duration
	kick chan struct{}
	// outcomes counts runs of items by how they ended, seconds is how long whole ones took.
	outcomes *expvar.Map
	seconds  *process.Latency
}

// LoadBegan implements versions.Loads: requests of the model wait until the load should be over.
func (r *runner) LoadBegan(i versions.Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := time.Now().Add(r.load)
	r.engines.block(i.Instance, i.Model, until)
	// The new version is believed from then on; the engine's answers tell if it is late.
	r.engines.versioned(i.Instance, i.Model, i.Version)
	time.AfterFunc(r.load+time.Millisecond, r.wake)
}

// LoadEnded implements versions.Loads.
func (r *runner) LoadEnded(i versions.Intent, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load += time.Duration(loadGain * float64(took-r.load))
	r.engines.block(i.Instance, i.Model, time.Time{})
	r.engines.versioned(i.Instance, i.Model, i.Version)
	r.wake()
}

// LoadFailed implements versions.Loads.
func (r *runner) LoadFailed(i versions.Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines.block(i.Instance, i.Model, time.Time{})
	r.engines.unversioned(i.Instance, i.Model, i.Instance.Versions[i.Model])
	r.wake()
}

// leftover is what was received of an item when its submission ended.
type leftover struct {
	text     []string
	versions []int64
	at       time.Time
}

// leftoverTTL is how long an unfinished text is kept: groups come again within a step or two.
const leftoverTTL = time.Minute

// wake asks for a look at the work, without waiting.
func (r *runner) wake() {
	select {
	case r.kick <- struct{}{}:
	default: // a look is due anyway
	}
}

// run looks for work until ctx ends.
func (r *runner) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.view.Changed()
		busy := r.look(ctx)
		pause := time.Hour
		if busy {
			pause = idleTick
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-r.kick:
			sleep(ctx, gatherKicks)
		case <-t.C:
		case <-changed:
		}
		t.Stop()
	}
}

// gatherKicks is how long a look waits for further reasons, so that one serves several.
const gatherKicks = 5 * time.Millisecond

// own sets the partitions whose submissions this VM runs.
func (r *runner) own(parts map[*partition]bool) {
	r.mu.Lock()
	r.parts = parts
	r.mu.Unlock()
	r.wake()
}

// look takes in what changed and starts what can start. It returns whether items are open.
func (r *runner) look(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.view.Get()
	if snap.Tables == nil {
		return false
	}
	if snap != r.seen {
		r.seen = snap
		r.engines.update(snap.Instances)
	}
	r.reconcile(ctx, snap)
	if len(r.jobs) == 0 {
		return false
	}
	r.start(ctx, snap)
	r.saveLong(time.Now())
	return true
}

// saveLong writes down what long items received since the last time.
func (r *runner) saveLong(now time.Time) {
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			if j.state == running && len(j.text) > j.saved && now.Sub(j.savedAt) >= saveEvery && now.Sub(j.startedAt) >= saveEvery {
				r.save(j.part, j.sub.ID, j.progress(r.writer))
				j.saved, j.savedAt = len(j.text), now
			}
		}
	}
}

// saveAll returns what is not written down yet of all unfinished texts.
func (r *runner) saveAll() []unsaved {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []unsaved
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			if j.state == running && len(j.text) > j.saved || j.state == scoring {
				out = append(out, unsaved{j.part, j.sub.ID, j.progress(r.writer)})
				j.saved = len(j.text)
			}
		}
	}
	return out
}

// unsaved is a part of a text to be written to a partition.
type unsaved struct {
	part       *partition
	submission string
	progress   *Progress
}

// reconcile brings the jobs in line with the owned partitions' submissions.
func (r *runner) reconcile(ctx context.Context, snap *fleet.Snapshot) {
	now := time.Now()
	for p := range r.parts {
		p.mu.Lock()
		if !p.current() {
			p.mu.Unlock()
			continue
		}
		for _, id := range p.book.order {
			e := p.book.entries[id]
			jobs := r.jobs[id]
			if e.done() {
				continue
			}
			if jobs == nil && e.items == nil {
				if !e.reading {
					e.reading = true
					go r.read(ctx, p, e)
				}
				continue
			}
			if jobs == nil {
				r.open(snap, p, e, nil)
				continue
			}
			for item, j := range jobs {
				if e.listed[item] {
					r.drop(j)
					delete(jobs, item)
				}
			}
		}
		p.mu.Unlock()
	}
	for id, jobs := range r.jobs {
		for item, j := range jobs {
			j.part.mu.Lock()
			gone := !r.parts[j.part] || j.entry.done()
			j.part.mu.Unlock()
			if gone {
				if !j.entry.done() && j.state == running && len(j.text) > j.saved {
					r.save(j.part, j.sub.ID, j.progress(r.writer)) // for the VM that goes on with it
				}
				r.leave(j, now)
				delete(jobs, item)
			} else if expired(snap, j.sub, now) && j.state != settled {
				r.drop(j)
				r.abandon(j)
			}
		}
		if len(jobs) == 0 {
			delete(r.jobs, id)
		}
	}
	for item, l := range r.texts {
		if now.Sub(l.at) > leftoverTTL {
			delete(r.texts, item)
		}
	}
}

// expired tells whether the items of a submission may be given up. Without a route nothing can run.
func expired(snap *fleet.Snapshot, s *Head, now time.Time) bool {
	route := snap.Tables.Match(s.Host, s.Path)
	if route == nil || route.Retention <= 0 {
		return false
	}
	return now.UnixMilli() > s.AcceptedMs+route.Retention.Milliseconds()
}

// abandon gives an item up.
func (r *runner) abandon(j *job) {
	j.state = settled
	r.list(j.part, j.sub.ID, j.abandoned(), "")
}

// read reads what the runner needs of an open submission from the data topic, and opens it.
func (r *runner) read(ctx context.Context, p *partition, e *entry) {
	p.mu.Lock()
	saved := maps.Clone(e.saved)
	p.mu.Unlock()
	items, err := p.data.items(ctx, e.data)
	var texts map[string]*savedText
	if err == nil {
		texts, err = p.data.texts(ctx, saved)
	}
	if err != nil {
		r.log.Warn("batch_read", "batch", e.head.ID, "partition", p.id.Index, "outcome", "failed", "err", err)
		sleep(ctx, readRetry)
	}
	r.mu.Lock()
	p.mu.Lock()
	e.reading = false
	if err == nil && !e.done() {
		if e.items == nil {
			e.setItems(items)
		}
		if snap := r.view.Get(); r.parts[p] && r.jobs[e.head.ID] == nil {
			r.open(snap, p, e, texts)
		}
	}
	p.mu.Unlock()
	r.mu.Unlock()
	r.wake()
}

// open makes the jobs of a submission. The partition's lock is held.
func (r *runner) open(snap *fleet.Snapshot, p *partition, e *entry, texts map[string]*savedText) {
	single := false
	if route := snap.Tables.Match(e.head.Host, e.head.Path); route != nil {
		single = route.SingleVersion
	}
	jobs := make(map[string]*job, len(e.order))
	carriedGroups := map[string]bool{}
	reused := 0
	for _, it := range e.order {
		if _, ok := p.book.finished[it.ID]; ok {
			carriedGroups[it.Group] = true
		}
		if _, ok := r.texts[it.ID]; ok {
			carriedGroups[it.Group] = true
		}
	}
	for _, it := range e.order {
		if e.listed[it.ID] {
			continue
		}
		j := &job{entry: e, sub: e.head, item: it, part: p, carried: carriedGroups[it.Group]}
		jobs[it.ID] = j
		if l, ok := p.book.reusable(e.head, it, single); ok {
			j.state = settled
			reused++
			r.list(p, e.head.ID, l, "")
			continue
		}
		if t := texts[it.ID]; t != nil {
			j.text, j.versions = slices.Clone(t.events), slices.Clone(t.versions)
			j.resumable(single)
			j.whole = t.whole && len(j.text) > 0
		}
		if l, ok := r.texts[it.ID]; ok && len(l.text) > len(j.text) {
			j.text, j.versions, j.whole = l.text, l.versions, false
			j.resumable(single)
			delete(r.texts, it.ID)
		}
	}
	r.jobs[e.head.ID] = jobs
	r.log.Info("batch_open", "batch", e.head.ID, "partition", p.id.Index, "step", e.head.Step, "model", e.head.Model, "least_version", e.head.MinVersion,
		"items", e.total, "listed", len(e.results), "reused", reused, "saved", len(texts))
}

// drop ends a job's run.
func (r *runner) drop(j *job) {
	if j.cancel != nil {
		j.cancel()
		j.cancel = nil
	}
}

// leave ends a job whose submission has ended, and keeps its text in case the item comes again.
func (r *runner) leave(j *job, now time.Time) {
	r.drop(j)
	if j.state != settled && len(j.text) > 0 {
		r.texts[j.item.ID] = leftover{text: j.text, versions: j.versions, at: now}
	}
}

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
	if room == 0 {
		for _, t := range tasks {
			r.short[t.job.sub.Model] = true
		}
	}
	if len(tasks) == 0 || room == 0 {
		return
	}
	sortTasks(now, tasks)
	var short *shortage
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
				n := r.engines.shortage(now, q)
				short = &n
			}
			continue
		}
		r.send(ctx, j, t.route, e)
		countHost(hosts, j)
		f.taken(e)
	}
	if short != nil && now.Sub(r.toldShort) >= shortEvery {
		r.toldShort = now
		r.log.Info("items_wait", "items", len(tasks), "engines", short.engines, "cooling", short.cooling, "loading", short.blocked,
			"old_version", short.old, "full", short.full)
	}
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
	call := &target.Call{
		Instance: e.instance, Method: http.MethodPost, Host: route.Host, URI: j.item.Path, Header: header, Body: j.item.Body,
		RequestID: j.item.ID, Priority: target.NoPriority, ResumeAfter: int64(len(j.text)),
	}
	go r.attempt(rctx, cancel, j, route, call)
}

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
func (r *runner) attempt(ctx context.Context, cancel context.CancelFunc, j *job, route *fleet.Route, call *target.Call) {
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
func (r *runner) stream(ctx context.Context, cancel context.CancelFunc, j *job, call *target.Call) (ending, error) {
	silent := false
	watchdog := time.AfterFunc(firstEventWait, func() {
		silent = true
		cancel()
	})
	defer watchdog.Stop()
	broken := func(err error) (ending, error) {
		if !watchdog.Stop() && silent {
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

// newRunner returns a runner without work.
func newRunner(o Options) *runner {
	return &runner{
		view: o.View, client: o.Client, fwd: o.Forwarder, log: o.Log, az: o.AvailabilityZone,
		jobs: map[string]map[string]*job{}, parts: map[*partition]bool{}, engines: newEngines(), texts: map[string]leftover{}, short: map[string]bool{},
		kick: make(chan struct{}, 1), load: initialLoad,
		outcomes: o.Metrics.SubMap("item_runs"), seconds: o.Metrics.Latency("item_run_seconds"),
	}
}

// ownedBy maps the store's assignment to partitions.
func ownedBy(all []*partition, topic string, assigned []store.Partition) map[*partition]bool {
	out := map[*partition]bool{}
	for _, a := range assigned {
		if a.Topic == topic && a.Index >= 0 && a.Index < len(all) {
			out[all[a.Index]] = true
		}
	}
	return out
}

// EngineState is what the state dump shows of an engine.
type EngineState struct {
	Running  int              `json:"running"`
	Room     int              `json:"room"`
	PaceMs   int64            `json:"pace_ms"`
	Versions map[string]int64 `json:"versions"`
}

// state shows the open jobs by state, and the engines.
func (r *runner) state() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := map[jobState]string{waiting: "waiting", running: "running", scoring: "scoring", settled: "settled"}
	jobs := map[string]int{}
	for _, js := range r.jobs {
		for _, j := range js {
			jobs[names[j.state]]++
		}
	}
	engines := map[string]EngineState{}
	for _, e := range r.engines.by {
		engines[e.instance.Name] = EngineState{e.inflight, e.room(time.Now()), e.pace.Milliseconds(), maps.Clone(e.versions)}
	}
	return map[string]any{"jobs": jobs, "engines": engines}
}
