package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of samplers, as on the sheet of magnolia-rollouts.
const (
	heartbeat = 1200 * time.Millisecond
	loadTime  = 900 * time.Millisecond
)

// run is one run of a request at a sampler, as the sampler saw it.
type run struct {
	ID, Path string // the request target as it stood in the request line
	// Method, Host, URLPath and Body are the request as a server reads it: of a target with a host, the path and query follow that host.
	Method, Host, URLPath, Body string
	From                        int // events before the run, by Last-Event-Id
	Events                      int // events that were made
	Versions                    []int64
	Started, Ended              time.Time
	Complete, Reward            bool
	Impossible                  bool // answered 422
	Crashed                     bool // the run crashed the sampler
	Sampler, Service            string
}

// sampler is a stand-in of a model sampler (with models) or a plain service.
type sampler struct {
	c             *cluster
	service, zone string
	slots         int
	addr          string
	// events returns the number of events of an item's output, pace is the time between two events.
	events func(id string) int
	pace   time.Duration
	// eventBytes is the size of an event's data.
	eventBytes int
	// work is how long a plain request takes.
	work func(path string) time.Duration
	// impossible reports whether an item can never be done, which the answer 422 says.
	impossible func(id string) bool
	// crashesOn reports whether a request crashes the sampler after its first event; downTime is how long the sampler is down then.
	crashesOn func(body string) bool
	downTime  time.Duration

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	server   *http.Server
	versions map[string]int64
	busy     bool
	loading  string // model whose requests are refused until the order is complete
	orders   int64
	running  map[string]int // runs by model; "" for plain requests
	seq      int64
	down     bool
	draining bool
	stamps   int
	// eventsMade counts the events of the current incarnation since it last had no run.
	eventsMade int
}

func (c *cluster) startSampler(service, zone string, slots int, models ...string) *sampler {
	x := &sampler{c: c, service: service, zone: zone, slots: slots, versions: map[string]int64{}, running: map[string]int{}, pace: 40 * time.Millisecond, eventBytes: 390,
		events: func(string) int { return 24 }, work: func(string) time.Duration { return 25 * time.Millisecond },
		impossible: func(string) bool { return false }, crashesOn: func(string) bool { return false }}
	for _, m := range models {
		x.versions[m] = 1
	}
	x.start()
	go func() {
		for !c.ended() {
			time.Sleep(heartbeat)
			x.register()
		}
	}()
	c.samplers = append(c.samplers, x)
	return x
}

// start starts a new incarnation, at the address of the one before.
func (x *sampler) start() {
	address := x.addr
	if address == "" {
		address = "127.0.0.3:0"
	}
	l, err := net.Listen("tcp", address)
	check(err)
	server := &http.Server{Handler: http.HandlerFunc(x.serve)}
	x.mu.Lock()
	x.addr, x.server = l.Addr().String(), server
	x.starts++
	x.id = fmt.Sprintf("i-%s-%d-%d", x.service, l.Addr().(*net.TCPAddr).Port, x.starts)
	x.born, x.orders, x.busy, x.loading, x.down, x.running = time.Now().UnixMilli(), 0, false, "", false, map[string]int{}
	x.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	x.register()
}

// register writes the sampler's entry, unless it is down.
func (x *sampler) register() {
	x.mu.Lock()
	if x.down {
		x.mu.Unlock()
		return
	}
	x.seq++
	state := "ready"
	if x.draining {
		state = "draining"
	}
	entry := map[string]any{"Service": x.service, "Address": x.addr, "Zone": x.zone, "Version": "v1", "Slots": x.slots, "State": state, "ColdRemainingMs": 0, "Seq": x.seq, "born": x.born}
	if len(x.versions) > 0 {
		entry["Stage"], entry["Models"] = "hybrid", x.models()
	}
	id := x.id
	x.mu.Unlock()
	x.c.store.put("keyed.servers", id, entry)
}

func (x *sampler) models() []map[string]any {
	out := []map[string]any{}
	for m, v := range x.versions {
		out = append(out, map[string]any{"Name": m, "Version": v, "Adapters": []string{}})
	}
	return out
}

// crash ends the sampler with its channels. It starts again after a while under another id, with the version that it had. The store removes
// the old entry after three status report intervals.
func (x *sampler) crash(after time.Duration) {
	x.mu.Lock()
	x.down = true
	id := x.id
	x.mu.Unlock()
	x.c.note("sampler %s crashes, back after %s", id, after)
	_ = x.server.Close()
	time.AfterFunc(3*heartbeat, func() { x.c.store.put("keyed.servers", id, nil) })
	time.AfterFunc(after, x.start)
}

func (x *sampler) serve(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	id := x.id
	x.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/v1/report":
		x.mu.Lock()
		doc := map[string]any{"Stage": "hybrid", "Models": x.models(), "Busy": x.busy, "Seq": x.orders, "NumWaiting": 0, "NumRunning": x.total(), "KvUsed": 0, "KvTotal": 85422, "Handles": 0}
		x.mu.Unlock()
		reply(w, http.StatusOK, doc)
	case r.URL.Path == "/v1/order":
		x.order(w, r)
	default:
		x.request(w, r)
	}
}

func (x *sampler) total() int {
	n := 0
	for _, k := range x.running {
		n += k
	}
	return n
}

// order carries out an order of a version: in the mode await, runs finish first; in carry_over they go on under the new version.
func (x *sampler) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Holder string
		Version, FencingToken   int64
		Precondition            *int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "Version" || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.versions[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
		return
	case x.busy || o.Precondition != nil && *o.Precondition != x.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Version > x.c.named(o.Model):
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.orders++
	x.busy, x.loading = true, o.Model
	start := x.starts
	x.c.note("order to %s: version %d of %s, mode %s, holder %s, token %d", x.id, o.Version, o.Model, o.Mode, o.Holder, o.FencingToken)
	go func() {
		for o.Mode == "await" {
			x.mu.Lock()
			n, same := x.running[o.Model], x.starts == start
			x.mu.Unlock()
			if n == 0 || !same {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(loadTime)
		x.mu.Lock()
		if x.starts == start && !x.down {
			x.versions[o.Model], x.busy, x.loading = o.Version, false, ""
		}
		x.mu.Unlock()
		x.register()
	}()
	w.WriteHeader(http.StatusAccepted)
}

func (x *sampler) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, model := r.Header.Get("Request-Id"), r.Header.Get("Model")
	w.Header().Set("Request-Id", id)
	x.mu.Lock()
	running := x.total()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, x.slots))
	if running >= x.slots || model != "" && x.loading == model {
		x.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if running == 0 {
		x.eventsMade = 0
	}
	x.running[model]++
	x.stamps++
	stamp := fmt.Sprintf("%s.%d.%s", x.id, x.stamps, id)
	version, starts := x.versions[model], x.starts
	x.mu.Unlock()
	n := run{ID: id, Path: r.RequestURI, Method: r.Method, Host: r.Host, URLPath: r.URL.RequestURI(), Body: string(body), Started: time.Now(), Sampler: x.id, Service: x.service, Reward: model == ""}
	defer func() {
		x.mu.Lock()
		if x.starts == starts {
			x.running[model]--
		}
		x.mu.Unlock()
		n.Ended = time.Now()
		x.c.ran(n)
	}()
	w.Header().Set("Server-Stamp", stamp)
	if model == "" {
		timer := time.NewTimer(x.work(r.URL.Path))
		defer timer.Stop()
		select {
		case <-timer.C:
			n.Complete = true
			fmt.Fprintf(w, "answer to %s (%d bytes)", id, len(body))
		case <-r.Context().Done(): // the sampler drops a request when its channel closes
		}
		return
	}
	if x.impossible(id) {
		n.Impossible = true
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	n.From, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	rc := http.NewResponseController(w)
	for k := n.From + 1; k <= x.events(id); k++ {
		select {
		case <-time.After(time.Until(n.Started.Add(time.Duration(k-n.From) * x.pace))):
		case <-r.Context().Done():
			return
		}
		x.mu.Lock()
		current, down := x.versions[model], x.down || x.starts != starts
		x.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler) // a crash ends the channel, not the answer
		}
		if current != version {
			version = current
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", k, eventText(id, k, x.eventBytes))
		if rc.Flush() != nil {
			return
		}
		n.Events++
		x.mu.Lock()
		x.eventsMade++
		x.mu.Unlock()
		n.Versions = append(n.Versions, version)
		if x.crashesOn(string(body)) {
			n.Crashed = true
			time.Sleep(5 * time.Millisecond) // the event leaves before the crash
			x.crash(x.downTime)
			panic(http.ErrAbortHandler)
		}
	}
	n.Complete = true
}

// eventText returns the data of event k of an item.
func eventText(id string, k, bytes int) string {
	s := fmt.Sprintf("%s-%d-", id, k)
	return s + strings.Repeat("x", max(0, bytes-len(s)))
}

// wholeText returns the whole output of an item.
func wholeText(id string, events, bytes int) string {
	parts := make([]string, events)
	for i := range parts {
		parts[i] = eventText(id, i+1, bytes)
	}
	return strings.Join(parts, "\n")
}
