package standin4

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// zones are the zones of the deployment.
var zones = []string{"danang-a", "hoian-b"}

// run is one request that a plain server ran.
type run struct {
	id     string
	status int
}

// verdict is how a plain server treats a request: it answers with a status after some work. With 503 it is full and does not run it.
type verdict struct {
	status int
	work   time.Duration
}

// desk is a plain server.
type desk struct {
	w                 *world
	id, zone, address string
	decide            func(id string) verdict

	mu   sync.Mutex
	runs []run
	seq  int
}

// startDesk starts a plain server and registers it, again with each beat.
func (w *world) startDesk(id, zone string, decide func(id string) verdict) (*desk, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &desk{w: w, id: id, zone: zone, address: l.Addr().String(), decide: decide}
	go func() { _ = http.Serve(l, d) }()
	keepRegistered(d.register)
	return d, nil
}

// keepRegistered registers a server now and with each beat.
func keepRegistered(register func()) {
	register()
	go func() {
		for range time.Tick(beat) {
			register()
		}
	}()
}

func (d *desk) register() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.w.put("keyed.servers", d.id, map[string]any{"Service": deskName, "Address": d.address, "Zone": d.zone, "Version": "v1", "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Seq": d.seq})
}

// ServeHTTP answers a request.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Request-Id")
	v := d.decide(id)
	d.w.note("%s: call %s is answered %d", d.id, id, v.status)
	w.Header().Set("Request-Id", id)
	if v.status == http.StatusServiceUnavailable {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(v.status)
		return
	}
	time.Sleep(v.work)
	d.mu.Lock()
	d.runs = append(d.runs, run{id, v.status})
	d.mu.Unlock()
	w.Header().Set("Server-Load", "1,0,6")
	w.Header().Set("Server-Stamp", stampOf(id))
	w.WriteHeader(v.status)
	fmt.Fprintf(w, "answer to %s", id)
}

// stampOf is the proof of a request.
func stampOf(id string) string { return "3e1b.07." + id }

// answers returns how often a plain server has answered a request with a status.
func (d *desk) answers(id string, status int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, r := range d.runs {
		if r.id == id && r.status == status {
			n++
		}
	}
	return n
}

// startScorers starts a plain server in each zone that answers reward calls.
func (w *world) startScorers() error {
	for _, zone := range zones {
		if _, err := w.startDesk("i-desk-"+zone, zone, func(string) verdict { return verdict{http.StatusOK, 50 * time.Millisecond} }); err != nil {
			return err
		}
	}
	return nil
}

// put writes a keyed record to the store, as the operator or a server does.
func (w *world) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are maps and lists
	}
	w.store.Put(topic, key, data)
}
