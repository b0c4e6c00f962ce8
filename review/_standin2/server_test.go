package standin2

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

const heartbeat = 1200 * time.Millisecond

// server is a plain service or a model engine, over all its incarnations.
type server struct {
	service, zone string
	slots         int
	work          time.Duration
	models        map[string]int64
	events        int
	eventGap      time.Duration
	write         func(key string, value []byte) // how its reports reach the store
	onRequest     func(s *server, r *http.Request, body []byte) (crash bool)
	runs          func(s *server, id string, r *http.Request, body []byte)
	downFor       time.Duration

	mu       sync.Mutex
	name     string
	number   int // of the incarnation
	id       string
	born     int64
	seq      int
	state    string
	silent   bool // it sends no reports
	up       bool
	address  string
	reported string // the address in the reports
	listener net.Listener
	conns    map[net.Conn]bool
	active   int
	orders   int64
	stop     chan struct{}
}

func newServer(name, service, zone string, slots int, work time.Duration, s *store) *server {
	sv := &server{name: name, service: service, zone: zone, slots: slots, work: work, downFor: 3 * time.Second, events: 20, eventGap: 20 * time.Millisecond}
	sv.write = func(key string, value []byte) { s.put("keyed.servers", key, value) }
	return sv
}

// begin starts an incarnation.
func (s *server) begin() { s.beginBehind(nil) }

// beginBehind starts an incarnation that reports the address that before returns for its own.
func (s *server) beginBehind(before func(address string) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = loopbackIP() + ":0"
	}
	l, err := net.Listen("tcp", address)
	check(err)
	s.address, s.listener, s.conns = l.Addr().String(), newPlug(l), map[net.Conn]bool{}
	s.number++
	s.id, s.born, s.seq, s.state, s.up, s.active, s.orders = fmt.Sprintf("%s-%d", s.name, s.number), time.Now().UnixMilli(), 0, "ready", true, 0, 0
	s.stop = make(chan struct{})
	number := s.number
	hs := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(number, w, r) }),
		ConnState: func(c net.Conn, st http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if st == http.StateClosed {
				delete(s.conns, c)
			} else if s.number == number {
				s.conns[c] = true
			}
		}}
	go hs.Serve(s.listener)
	s.reported = s.address
	if before != nil {
		s.reported = before(s.address)
	}
	go s.beat(s.stop)
}

// beat reports until the incarnation ends.
func (s *server) beat(stop chan struct{}) {
	for {
		s.report()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report writes the current state to the store.
func (s *server) report() {
	s.mu.Lock()
	if s.silent || !s.up {
		s.mu.Unlock()
		return
	}
	s.seq++
	models := []map[string]any{}
	for name, v := range s.models {
		models = append(models, map[string]any{"Name": name, "Version": v, "Adapters": []string{}})
	}
	doc := map[string]any{"Service": s.service, "Address": s.reported, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": s.state,
		"ColdRemainingMs": 0, "Seq": s.seq, "born": s.born}
	if len(s.models) > 0 {
		doc["Stage"], doc["Models"] = "hybrid", models
	}
	id := s.id
	s.mu.Unlock()
	data, err := json.Marshal(doc)
	check(err)
	s.write(id, data)
}

// crash ends the incarnation at once: its channels are reset and its port is closed. It is back after downFor under another ID, and its entry is
// removed after three heartbeats of silence.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	id := s.id
	s.end()
	s.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { s.write(id, nil) })
	time.AfterFunc(s.downFor, s.begin)
}

// end closes the port and the channels. The caller holds mu.
func (s *server) end() {
	s.up = false
	close(s.stop)
	s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
}

func (s *server) serve(number int, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, up := s.id, s.up && s.number == number
	s.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", id)
		return
	case "/v1/report":
		s.mu.Lock()
		models := []map[string]any{}
		for name, v := range s.models {
			models = append(models, map[string]any{"Name": name, "Version": v, "Adapters": []string{}})
		}
		doc := map[string]any{"Stage": "hybrid", "Models": models, "Busy": false, "Seq": s.orders, "NumWaiting": 0, "NumRunning": s.active, "KvUsed": 0, "KvTotal": 85422, "Handles": 0}
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, doc)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	requestID := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", requestID)
	s.mu.Lock()
	if s.active >= s.slots {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.active++
	load := fmt.Sprintf("%d,0,%d", s.active, s.slots)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		if s.number == number {
			s.active--
		}
		s.mu.Unlock()
	}()
	if s.runs != nil {
		s.runs(s, id, r, body)
	}
	if s.onRequest != nil && s.onRequest(s, r, body) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Load", load)
	w.Header().Set("Server-Stamp", "stamp."+id+"."+requestID)
	if model := r.Header.Get("Model"); model != "" {
		s.stream(w, r, model, requestID)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "answer to %s", requestID)
}

// stream sends the events of a run.
func (s *server) stream(w http.ResponseWriter, r *http.Request, model, requestID string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	version, events, gap := s.models[model], s.events, s.eventGap
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	rc := http.NewResponseController(w)
	rc.Flush()
	for n := from + 1; n <= events; n++ {
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(requestID, n))
		if rc.Flush() != nil {
			return
		}
	}
}

func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

func wholeText(id string, events int) string {
	var parts []string
	for n := 1; n <= events; n++ {
		parts = append(parts, eventText(id, n))
	}
	return strings.Join(parts, "\n")
}
