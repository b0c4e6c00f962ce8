package errata

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/internal/loopback"
)

// ExecutedRequest is one request that a target started to execute.
type ExecutedRequest struct {
	ID, Method, URI, Host string
	Header                http.Header
	Body                  []byte
	At                    time.Time
	// Software is the target's software version.
	Software string
}

// AcceptedOrder is an order to load a weight version that a target accepted, with its fencing token.
type AcceptedOrder struct {
	Model, Holder string
	Version       int64
	Token         int64
	At            time.Time
}

// Target is a model engine or a plain service. Its fields may be set while it runs, under Lock.
type Target struct {
	sync.Mutex
	ID, Service, Zone string
	Slots             int
	// Software is the version of the target's software.
	Software string
	// TagEvents adds the software version to the data of each event, as TagOf tells it.
	TagEvents bool
	// Versions are the loaded weight versions by model; a target without models is a plain service.
	Versions map[string]int64
	// RequestDuration is the duration of a plain request, EventInterval the time between the events of a stream.
	RequestDuration, EventInterval time.Duration
	EventsPerStream                int
	// LoadTime is how long it takes to load another weight version.
	LoadTime time.Duration
	// Full answers each request with status 503 and the header Not-Executed.
	Full bool
	// Fail answers each request with status 500.
	Fail bool
	// LoseAnswers is how many of the next requests to a plain service are executed without an answer; their connections are reset.
	LoseAnswers int
	// WrongIDAnswers is how many of the next answers carry another request's ID.
	WrongIDAnswers int
	// ResetStreamAfter is after how many events each stream is reset; 0 means never.
	ResetStreamAfter int
	// CrashOn is a part of the bodies of requests that crash the target after RequestDuration; empty means none.
	CrashOn string
	// CrashAfterEvents makes such requests crash an engine only after that many events of their streams.
	CrashAfterEvents int
	// RateLimit is the limit that all answers name, in requests a second over all VMs; 0 names none.
	RateLimit float64
	// Leaving makes all answers say that the target leaves.
	Leaving bool
	// DownTime is how long the target is down after a crash. It starts again under another ID.
	DownTime time.Duration

	name            string // the first ID
	server          *faults.Server
	crashes         int
	store           *Store // where the target registers itself
	executed        []ExecutedRequest
	arrivals        []time.Time // of all requests, also those that were not executed
	orders          []AcceptedOrder
	orderSeq        int64
	loading         bool
	active          int
	registrationSeq int
}

// NewTarget starts a target on loopback.
func NewTarget(id, service, zone string, slots int, models ...string) *Target {
	t := &Target{
		name: id, ID: id, Service: service, Zone: zone, Slots: slots, Software: "v1", Versions: map[string]int64{}, RequestDuration: 5 * time.Millisecond, EventInterval: 5 * time.Millisecond,
		EventsPerStream: 4, LoadTime: 50 * time.Millisecond, DownTime: 500 * time.Millisecond,
	}
	for _, m := range models {
		t.Versions[m] = 1
	}
	server, err := faults.Listen(loopback.Host()+":0", http.HandlerFunc(t.serve))
	if err != nil {
		panic(fmt.Sprintf("target %s: %v", id, err))
	}
	t.server = server
	return t
}

// Address returns the target's host:port.
func (t *Target) Address() string { return t.server.Addr() }

// Close stops the target and closes its connections.
func (t *Target) Close() { t.server.Close() }

// crash ends the target at once, with all its connections, and starts it again after DownTime. The caller holds the lock.
func (t *Target) crash() {
	if t.server.Down() {
		return // another request has crashed it
	}
	t.server.Crash()
	t.crashes++
	time.AfterFunc(t.DownTime, t.restart)
}

// restart starts the target again under another ID, unless it was closed meanwhile.
func (t *Target) restart() {
	t.Lock()
	previous := t.ID
	t.ID = fmt.Sprintf("%s-%d", t.name, t.crashes)
	t.Leaving = false // a new process does not know of it
	t.Unlock()
	if err := t.server.Restart(); err != nil {
		panic(fmt.Sprintf("target %s: %v", t.name, err))
	}
	if t.server.Down() {
		return
	}
	t.store.Put("keyed.servers", previous, nil)
	t.Register(t.store, "ready")
}

// Crash crashes the target as a request does that CrashOn names.
func (t *Target) Crash() { t.Set((*Target).crash) }

// Upgrade crashes the target, which starts again with another software version.
func (t *Target) Upgrade(software string) {
	t.Lock()
	defer t.Unlock()
	t.crash()
	t.Software = software
}

// Crashes returns how often the target has crashed.
func (t *Target) Crashes() int {
	t.Lock()
	defer t.Unlock()
	return t.crashes
}

// Set calls change with the lock held, to change fault switches.
func (t *Target) Set(change func(*Target)) {
	t.Lock()
	defer t.Unlock()
	change(t)
}

// ExecutedRequests returns the requests that the target started to execute, the oldest first.
func (t *Target) ExecutedRequests() []ExecutedRequest {
	t.Lock()
	defer t.Unlock()
	return append([]ExecutedRequest(nil), t.executed...)
}

// Arrivals returns the times at which requests arrived, also those that were not executed, the oldest first.
func (t *Target) Arrivals() []time.Time {
	t.Lock()
	defer t.Unlock()
	return append([]time.Time(nil), t.arrivals...)
}

// AcceptedOrders returns the orders that the target accepted, the oldest first.
func (t *Target) AcceptedOrders() []AcceptedOrder {
	t.Lock()
	defer t.Unlock()
	return append([]AcceptedOrder(nil), t.orders...)
}

// Register writes the target's registration with a state to the store, with the next sequence number.
func (t *Target) Register(s *Store, state string) {
	t.Lock()
	t.store = s
	t.registrationSeq++
	doc := map[string]any{
		"Service": t.Service, "Address": t.Address(), "Zone": t.Zone, "Version": t.Software, "Slots": t.Slots, "State": state,
		"ColdRemainingMs": 0, "Seq": t.registrationSeq, "Models": t.models(),
	}
	id := t.ID
	t.Unlock()
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // cannot happen: the document holds only encodable values
	}
	s.Put("keyed.servers", id, data)
}

// models returns the loaded models in the form of registrations and reports. The caller holds the lock.
func (t *Target) models() []map[string]any {
	out := []map[string]any{}
	for name, v := range t.Versions {
		out = append(out, map[string]any{"Name": name, "Version": v, "Adapters": []string{}})
	}
	return out
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.Lock()
	id := t.ID
	if t.RateLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(t.RateLimit, 'f', -1, 64))
	}
	if t.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	t.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		t.Lock()
		doc := map[string]any{"Stage": "hybrid", "Models": t.models(), "Busy": t.loading, "Seq": t.orderSeq}
		t.Unlock()
		writeJSON(w, http.StatusOK, doc)
	case "/v1/order":
		t.order(w, r)
	default:
		t.request(w, r)
	}
}

func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model, Holder                       string
		Version, FencingToken, Precondition int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.Lock()
	defer t.Unlock()
	if t.loading || o.Precondition != t.orderSeq {
		w.WriteHeader(http.StatusConflict)
		return
	}
	t.orderSeq++
	t.loading = true
	t.orders = append(t.orders, AcceptedOrder{o.Model, o.Holder, o.Version, o.FencingToken, time.Now()})
	time.AfterFunc(t.LoadTime, func() {
		t.Lock()
		defer t.Unlock()
		t.loading = false
		t.Versions[o.Model] = o.Version
	})
	w.WriteHeader(http.StatusAccepted)
}

// abort resets the connection of a request.
func abort() { panic(http.ErrAbortHandler) }

func (t *Target) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		abort()
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	t.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	model := r.Header.Get("Model")
	if t.Full || t.active >= t.Slots || model != "" && t.loading {
		t.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.active++
	t.executed = append(t.executed, ExecutedRequest{id, r.Method, r.RequestURI, r.Host, r.Header.Clone(), body, time.Now(), t.Software})
	crashes := t.CrashOn != "" && strings.Contains(string(body), t.CrashOn)
	crashAfter := t.CrashAfterEvents
	fail, loseAnswer, wrongID, duration := t.Fail, t.LoseAnswers > 0, t.WrongIDAnswers > 0, t.RequestDuration
	if loseAnswer {
		t.LoseAnswers--
	}
	if wrongID {
		t.WrongIDAnswers--
		w.Header().Set("Request-Id", "another")
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", t.active, t.Slots))
	t.Unlock()
	defer t.Set(func(t *Target) { t.active-- })
	switch {
	case crashes && (model == "" || crashAfter == 0):
		time.Sleep(duration)
		t.Crash()
		abort()
	case fail:
		w.Header().Set("Server-Stamp", "failed."+id)
		w.WriteHeader(http.StatusInternalServerError)
	case model != "":
		if !crashes {
			crashAfter = 0
		}
		t.stream(w, r, model, crashAfter)
	default:
		time.Sleep(duration)
		if loseAnswer {
			abort()
		}
		w.Header().Set("Server-Stamp", "stamp."+id)
		fmt.Fprintf(w, "answer to %s by %s: %s", id, t.ID, body)
	}
}

// stream sends the events of a generation, from the one after Last-Event-Id on; each holds the request's ID and its number.
// It crashes the target after crashAfter events, unless that is 0.
func (t *Target) stream(w http.ResponseWriter, r *http.Request, model string, crashAfter int) {
	id := r.Header.Get("Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	t.Lock()
	version, events, eventInterval, resetAfter := t.Versions[model], t.EventsPerStream, t.EventInterval, t.ResetStreamAfter
	tag := ""
	if t.TagEvents {
		tag = tagSeparator + t.Software
	}
	t.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Stamp", "stamp."+id)
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	rc := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		time.Sleep(eventInterval)
		if resetAfter > 0 && n-from > resetAfter {
			abort()
		}
		if crashAfter > 0 && n-from > crashAfter {
			t.Crash()
			abort()
		}
		t.Lock()
		current := t.Versions[model]
		t.Unlock()
		if current != version {
			version = current
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s%s\n\n", n, EventText(id, n), tag)
		if rc.Flush() != nil || r.Context().Err() != nil {
			return
		}
	}
}

// EventText returns the data of event n of the request with an ID; n starts at 1.
func EventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// Text returns the whole text of a stream of events.
func Text(id string, events int) string {
	parts := make([]string, 0, events)
	for n := range events {
		parts = append(parts, EventText(id, n+1))
	}
	return strings.Join(parts, "\n")
}

// tagSeparator separates an event's text from the software version that TagEvents adds.
const tagSeparator = "@"

// SplitTags returns a text without the software versions of its events, and the distinct versions.
func SplitTags(text string) (plain string, software []string) {
	var lines []string
	for _, line := range strings.Split(text, "\n") {
		event, tag, _ := strings.Cut(line, tagSeparator)
		lines, software = append(lines, event), append(software, tag)
	}
	slices.Sort(software)
	return strings.Join(lines, "\n"), slices.Compact(software)
}

// Active returns the number of requests in progress.
func (t *Target) Active() int {
	t.Lock()
	defer t.Unlock()
	return t.active
}
