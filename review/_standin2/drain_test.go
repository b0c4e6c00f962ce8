package standin2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const drainTime = 2 * time.Second // DrainMs

// Times of lateReport, from the moment at which clients begin.
const (
	cutAt      = 5 * time.Second
	cutFor     = 2 * time.Second
	heldLonger = 3 * time.Second // the held report arrives that long after the cut: TCP sends it again after pauses that double
	leaveAt    = cutAt + cutFor + 100*time.Millisecond
	exitAt     = leaveAt + 6*time.Second
	endAt      = exitAt + 2*time.Second
)

// lateReport cuts a server's way to the store. A report that it sent into the cut arrives seconds after the cut, when the server has left: its entry
// was removed, and it goes on serving for a while.
func lateReport(trouble bool) bool {
	s := newStore(12)
	booking := plainRoute("booking", deskHost, "/booking/", "errata-desk", 1500, 500, 1)
	booking["Kind"] = "non_idempotent"
	putConfig(s, 1, []m{plainService("errata-desk")}, []m{plainRoute("desk", deskHost, deskPrefix, "errata-desk", 1500, 150, 3), booking})
	var mu sync.Mutex
	var runs []time.Time // of the leaving server
	unanswered := 0
	var leaving *server
	for i := range 5 {
		sv := newServer(fmt.Sprintf("desk%d", i+1), "errata-desk", []string{"zone-a", "zone-b"}[i%2], 6, 25*time.Millisecond, s)
		sv.onRequest = func(_ *server, r *http.Request, _ []byte) bool {
			if hasPrefix(r.URL.Path, "/booking/") {
				time.Sleep(200 * time.Millisecond)
			}
			return false
		}
		if i == 0 {
			leaving = sv
			sv.runs = func(sv *server, id string, r *http.Request, _ []byte) {
				mu.Lock()
				defer mu.Unlock()
				runs = append(runs, time.Now())
				note("%s runs %s", id, r.Header.Get("Request-Id"))
			}
		}
		sv.begin()
	}
	var vms []*vm
	for i := range 3 {
		v := newVM(fmt.Sprintf("vm%d", i+1), []string{"zone-a", "zone-b"}[i%2], s)
		v.writeSettings(true, 12)
		v.start()
		vms = append(vms, v)
	}
	awaitReady(vms)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := newID()
				v := vms[(n+i)%len(vms)]
				path := []string{"/desk/c", "/booking/c"}[n%2]
				a := send(v, "POST", deskHost, path, map[string]string{"Request-Id": id, "Deadline-Ms": "1500"}, []byte("entry "+id), 1500*time.Millisecond)
				note("%s at %s: %s %s", id, v.name, path, a)
				if path == "/booking/c" && (a.status == 0 || a.status == http.StatusBadGateway) {
					mu.Lock()
					unanswered++
					mu.Unlock()
				}
			}
		}()
	}
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }

	at(cutAt)
	direct := leaving.write
	var held []func()
	if trouble {
		leaving.mu.Lock()
		leaving.write = func(key string, value []byte) { // the bytes wait in the server's kernel
			mu.Lock()
			defer mu.Unlock()
			note("%s sends a report, which the cut holds up: %s", key, value)
			held = append(held, func() { direct(key, value) })
		}
		leaving.mu.Unlock()
		note("the way of %s to the store is cut", leaving.id)
		at(cutAt + cutFor)
		leaving.mu.Lock()
		leaving.write = direct
		leaving.mu.Unlock()
		note("the cut has ended")
	}
	at(leaveAt)
	leaving.mu.Lock()
	leaving.silent = true
	leaving.mu.Unlock()
	direct(leaving.id, nil)
	accepted := time.Now()
	note("%s leaves: the store has accepted the removal of its entry", leaving.id)
	if trouble {
		at(cutAt + cutFor + heldLonger)
		mu.Lock()
		last := held[len(held)-1]
		mu.Unlock()
		last()
		note("the held report of %s arrives at the store", leaving.id)
		time.AfterFunc(3*heartbeat, func() {
			note("the store removes the entry of %s, which is silent", leaving.id)
			direct(leaving.id, nil)
		})
	}
	at(exitAt)
	leaving.mu.Lock()
	leaving.end()
	leaving.mu.Unlock()
	note("%s exits", leaving.id)
	at(endAt)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, r := range runs {
		if r.After(accepted.Add(drainTime)) {
			late++
		}
	}
	note("%d requests reached %s later than DrainMs after the store had accepted that it is gone (0 allowed), %d before", late, leaving.id, len(runs)-late)
	note("%d requests that may not be repeated got no answer but 502", unanswered)
	return late > 0
}
