package standin4

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// engineSlots and kvTotal are the requests that a model server runs at once and its memory in tokens, loadTime how long a change of
	// version takes.
	engineSlots = 8
	kvTotal     = 79127
	loadTime    = 900 * time.Millisecond
)

// itemRun is one run of an item at a model server.
type itemRun struct {
	number       int
	id, engine   string
	from, events int
	ended        time.Time
}

// seen is what all model servers have run.
var seen struct {
	mu   sync.Mutex
	runs []*itemRun
}

// engine is a model server.
type engine struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	events  int           // of each item
	every   time.Duration // between two events

	mu      sync.Mutex
	server  *http.Server
	born    time.Time
	version int64
	busy    bool // with an order
	seq     int64
	running int
	down    bool
	beats   int
	changed chan struct{} // closed when a run ends
	// loseOrders is how many of the next orders get no answer; they are carried out lateBy later. lostAt is when the last of them came.
	loseOrders int
	lateBy     time.Duration
	lostAt     time.Time
}

// startEngine starts a model server and registers it, again with each beat.
func (w *world) startEngine(id, service, zone string, every time.Duration, events int) (*engine, error) {
	e := &engine{w: w, id: id, service: service, zone: zone, every: every, events: events, version: 1, changed: make(chan struct{})}
	if err := e.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	keepRegistered(e.register)
	return e, nil
}

func (e *engine) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: e}
	e.mu.Lock()
	e.address, e.server, e.born, e.down = l.Addr().String(), s, time.Now(), false
	e.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// crash ends the server at once. It starts again after some time under its ID, with the version that it had and a count of orders that
// starts anew.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	e.down, e.seq, e.busy = true, 0, false
	s, version := e.server, e.version
	e.mu.Unlock()
	e.w.note("%s: crashes with version %d, for %v", e.id, version, down)
	s.Close()
	time.AfterFunc(down, func() {
		if err := e.listen(e.address); err != nil {
			e.w.note("%s: not started again: %v", e.id, err)
			return
		}
		e.w.note("%s: started again", e.id)
		e.register()
	})
}

// models is the list of models of the server's registration and report. The caller holds the lock.
func (e *engine) models() []map[string]any {
	return []map[string]any{{"Name": modelName, "Version": e.version, "Adapters": []string{}}}
}

func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.beats++
	e.w.put("keyed.servers", e.id, map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": engineSlots, "State": "ready", "ColdRemainingMs": 0, "Seq": e.beats,
		"Stage": "hybrid", "Models": e.models(), "born": e.born.UnixMilli(),
	})
}

// ServeHTTP answers a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		e.mu.Lock()
		doc := map[string]any{
			"Stage": "hybrid", "Models": e.models(), "Busy": e.busy, "Seq": e.seq, "NumWaiting": 0, "NumRunning": e.running,
			"KvUsed": 0, "KvTotal": kvTotal, "Handles": 0, "born": e.born.UnixMilli(),
		}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(doc) // fails only if the caller has gone
	case "/v1/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

// order is an order to a model server.
type order struct {
	Op, Model, Mode, Holder string
	Version, FencingToken   int64
	Precondition            *int64 // the expected Seq
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "Version" || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	lost, late := e.loseOrders > 0, e.lateBy
	if lost {
		e.loseOrders--
		e.lostAt = time.Now()
	}
	e.mu.Unlock()
	if lost {
		e.w.note("%s: order of version %d (%s, Precondition %d) by %s gets no answer", e.id, o.Version, o.Mode, deref(o.Precondition), o.Holder)
		time.AfterFunc(late, func() {
			e.w.note("%s: order of version %d (%s, Precondition %d) by %s is carried out late: %d", e.id, o.Version, o.Mode, deref(o.Precondition), o.Holder, e.carryOut(o))
		})
		<-r.Context().Done()
		return
	}
	status := e.carryOut(o)
	e.w.note("%s: order of version %d (%s, Precondition %d) by %s: %d", e.id, o.Version, o.Mode, deref(o.Precondition), o.Holder, status)
	w.WriteHeader(status)
}

func deref(n *int64) int64 {
	if n == nil {
		return -1
	}
	return *n
}

// carryOut carries an order out and returns the status of its answer; 0 if the server is down.
func (e *engine) carryOut(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down:
		return 0
	case e.busy || o.Precondition != nil && *o.Precondition != e.seq:
		return http.StatusConflict
	case e.version == o.Version:
		return http.StatusOK
	}
	e.seq++
	e.busy = true
	go e.load(o, e.born)
	return http.StatusAccepted
}

// load loads a version, unless the server ends meanwhile.
func (e *engine) load(o order, born time.Time) {
	for o.Mode == "await" {
		e.mu.Lock()
		waits, changed := e.running > 0 && e.alive(born), e.changed
		e.mu.Unlock()
		if !waits {
			break
		}
		<-changed
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	if e.alive(born) {
		e.version, e.busy = o.Version, false
		e.w.note("%s: runs version %d", e.id, o.Version)
	}
	e.mu.Unlock()
	e.register()
}

// alive reports whether the server that started at some time still runs. The caller holds the lock.
func (e *engine) alive(born time.Time) bool { return !e.down && e.born.Equal(born) }

// run runs an item. Each event holds the item's ID, its number, the version that made it and the number of the run.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Request-Id")
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	w.Header().Set("Request-Id", id)
	e.mu.Lock()
	if e.running >= engineSlots || e.busy {
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	version, born, load := e.version, e.born, fmt.Sprintf("%d,0,%d", e.running, engineSlots)
	e.mu.Unlock()
	seen.mu.Lock()
	x := &itemRun{number: len(seen.runs), id: id, engine: e.id, from: from}
	seen.runs = append(seen.runs, x)
	seen.mu.Unlock()
	e.w.note("%s: run %d of %s begins after event %d, version %d", e.id, x.number, id, from, version)
	defer e.endRun(x)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Load", load)
	w.Header().Set("Server-Stamp", stampOf(id))
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	rc := http.NewResponseController(w)
	for n := from + 1; n <= e.events; n++ {
		if !sleep(r.Context(), e.every) {
			return
		}
		e.mu.Lock()
		alive, current := e.alive(born), e.version
		e.mu.Unlock()
		if !alive {
			panic(http.ErrAbortHandler)
		}
		line := ""
		if current != version {
			version = current
			line = fmt.Sprintf("weight-versions: %d\n", version)
		}
		seen.mu.Lock()
		x.events++
		seen.mu.Unlock()
		fmt.Fprintf(w, "%sid: %d\ndata: %s|%d|%d|%d\n\n", line, n, id, n, version, x.number)
		if rc.Flush() != nil {
			return
		}
	}
}

func (e *engine) endRun(x *itemRun) {
	seen.mu.Lock()
	x.ended = time.Now()
	events := x.from + x.events
	seen.mu.Unlock()
	e.w.note("%s: run %d of %s ends after event %d of %d", e.id, x.number, x.id, events, e.events)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	close(e.changed)
	e.changed = make(chan struct{})
}

// sleep waits, and reports false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// idleLimit is how long an unfinished item of a step may be at no server in steady state, as the rule says.
const idleLimit = 5 * time.Second

// stalled returns how many items of a batch have begun, and how many unfinished ones have been at no server for idleLimit of the steady state
// that began at some time.
func stalled(batch string, items, events int, steady time.Time) (begun, waiting int) {
	now := time.Now()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for i := range items {
		last, finished := time.Time{}, false
		for _, x := range seen.runs {
			if x.id != itemID(batch, i) {
				continue
			}
			if x.ended.IsZero() {
				last = now
			} else if x.ended.After(last) {
				last = x.ended
			}
			finished = finished || x.from+x.events == events
		}
		if !last.IsZero() {
			begun++
		}
		if last.Before(steady) {
			last = steady
		}
		if !finished && now.Sub(last) >= idleLimit {
			waiting++
		}
	}
	return begun, waiting
}
