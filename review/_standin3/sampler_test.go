package standin3

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

// sampler is a stand-in of a model sampler, or of a plain service if it has no models.
type sampler struct {
	id, service, zone, address string
	slots                      int
	eventInterval, work        time.Duration
	events                     int
	log                        *recorder
	store                      *store

	mu       sync.Mutex
	state    string
	versions map[string]int64
	seq      int64
	orders   int64
	loading  bool
	running  int
	runs     map[string]int // by request ID
	// serve answers a request in the place of the sampler if it is set and returns true.
	serve func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

func newSampler(ctx context.Context, st *store, log *recorder, ip, id, service, zone string, slots int, models ...string) (*sampler, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	x := &sampler{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, eventInterval: 20 * time.Millisecond, work: 25 * time.Millisecond, events: 24,
		log: log, store: st, state: "ready", versions: map[string]int64{}, runs: map[string]int{},
	}
	for _, m := range models {
		x.versions[m] = 1
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(x.handle)) }()
	go x.beat(ctx)
	return x, nil
}

// beat registers the sampler every HeartbeatMs.
func (x *sampler) beat(ctx context.Context) {
	for ctx.Err() == nil {
		x.register()
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (x *sampler) register() {
	x.mu.Lock()
	x.seq++
	doc := map[string]any{
		"Service": x.service, "Address": x.address, "Zone": x.zone, "Version": "v1", "Slots": x.slots, "State": x.state, "ColdRemainingMs": 0, "Seq": x.seq,
		"Stage": "hybrid", "Models": x.models(), "born": bornMs,
	}
	x.mu.Unlock()
	x.store.put("keyed.servers", x.id, doc)
}

var bornMs = time.Now().UnixMilli()

// models returns the loaded models as reported. The caller holds mu.
func (x *sampler) models() []map[string]any {
	out := []map[string]any{}
	for name, v := range x.versions {
		out = append(out, map[string]any{"Name": name, "Version": v, "Adapters": []string{}})
	}
	return out
}

func (x *sampler) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != x.id {
		w.Header().Set("Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		x.mu.Lock()
		doc := map[string]any{"Stage": "hybrid", "Models": x.models(), "Busy": x.loading, "Seq": x.orders, "NumWaiting": 0, "NumRunning": x.running, "KvUsed": 0, "KvTotal": 85422, "Handles": 0}
		x.mu.Unlock()
		reply(w, http.StatusOK, doc)
	case "/v1/order":
		x.order(w, body)
	default:
		x.request(w, r, body)
	}
}

func (x *sampler) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Model, Holder         string
		Version, FencingToken int64
		Precondition          *int64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.loading || o.Precondition != nil && *o.Precondition != x.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if x.versions[o.Model] >= o.Version {
		w.WriteHeader(http.StatusOK)
		return
	}
	x.orders++
	x.loading = true
	x.log.printf("%s accepts an order of %s, token %d: %s version %d", x.id, o.Holder, o.FencingToken, o.Model, o.Version)
	time.AfterFunc(900*time.Millisecond, func() {
		x.mu.Lock()
		x.loading, x.versions[o.Model] = false, o.Version
		x.mu.Unlock()
		x.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

func (x *sampler) request(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	x.mu.Lock()
	model := r.Header.Get("Model")
	if x.running >= x.slots || model != "" && x.loading {
		x.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x.running++
	x.runs[id]++
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", x.running, x.slots))
	serve := x.serve
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		x.running--
		x.mu.Unlock()
	}()
	if serve != nil && serve(w, r, body) {
		return
	}
	w.Header().Set("Server-Stamp", "stamp."+x.id+"."+id)
	if model != "" {
		x.stream(w, r, id, model)
		return
	}
	select {
	case <-time.After(x.work):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "answer to %s", id)
}

// eventText is the data of event n of a request.
func eventText(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

func (x *sampler) stream(w http.ResponseWriter, r *http.Request, id, model string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	x.mu.Lock()
	version := x.versions[model]
	x.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	rc := http.NewResponseController(w)
	for n := from + 1; n <= x.events; n++ {
		select {
		case <-time.After(x.eventInterval):
		case <-r.Context().Done():
			return
		}
		x.mu.Lock()
		current := x.versions[model]
		x.mu.Unlock()
		if current != version {
			version = current
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n))
		if rc.Flush() != nil {
			return
		}
	}
}
