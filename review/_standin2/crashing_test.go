package standin2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	deskHost   = "desk.example"
	deskPrefix = "/desk/"
	stableTime = 3 * time.Second // StableMs
)

// crashes of one request's content.
type crashHistory struct {
	crashes []time.Time
	// reached holds the client attempts that reached a server, by Request-Id.
	reached map[string]bool
}

// twoCrashingRequests sends two requests, each of which crashes every server that begins to run it, at the same moments: a client hands them in
// together and comes again with both.
func twoCrashingRequests(trouble bool) bool {
	s := newStore(12)
	const hosts = 4
	services := []m{plainService("order-desk"), plainService("pantry")}
	putConfig(s, 1, services, []m{plainRoute("desk", deskHost, deskPrefix, "order-desk", 800, 150, 3), plainRoute("pantry", deskHost, "/pantry/", "pantry", 3000, 800, 4)})
	var mu sync.Mutex
	history := map[string]*crashHistory{"crash-x": {reached: map[string]bool{}}, "crash-y": {reached: map[string]bool{}}}
	for i := range 8 {
		sv := newServer(fmt.Sprintf("desk%d", i+1), "order-desk", []string{"zone-a", "zone-b"}[i%2], 6, 25*time.Millisecond, s)
		sv.onRequest = func(sv *server, r *http.Request, body []byte) bool {
			name, _, _ := strings.Cut(string(body), " ")
			h := history[name]
			if h == nil {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			h.reached[r.Header.Get("Request-Id")] = true
			note("%s runs %s as %s", sv.id, name, r.Header.Get("Request-Id"))
			if !trouble {
				return false
			}
			h.crashes = append(h.crashes, time.Now())
			return true
		}
		sv.begin()
	}
	for i := range 4 {
		newServer(fmt.Sprintf("pantry%d", i+1), "pantry", []string{"zone-a", "zone-b"}[i%2], 6, 25*time.Millisecond, s).begin()
	}
	var vms []*vm
	for i := range hosts {
		v := newVM(fmt.Sprintf("vm%d", i+1), []string{"zone-a", "zone-b"}[i%2], s)
		v.writeSettings(true, 12)
		v.start()
		vms = append(vms, v)
	}
	awaitReady(vms)
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 { // other callers
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+rand.IntN(60)) * time.Millisecond):
				}
				id := newID()
				path, host := "/desk/c", vms[(n+i)%hosts]
				if n%3 == 0 {
					path = "/pantry/c"
				}
				a := send(host, "POST", deskHost, path, map[string]string{"Request-Id": id, "Deadline-Ms": "800"}, []byte("entry "+id), 800*time.Millisecond)
				note("%s at %s: %s %s", id, host.name, path, a)
			}
		}()
	}
	// attempt is one try of a request's client: an attempt, and one retry at another machine if it fails.
	type try struct {
		id string
		at time.Time
	}
	tries := map[string][]try{}
	deliver := func(name string, k int) {
		defer wg.Done()
		for n := range 2 {
			id := newID()
			v := vms[(k+n)%hosts]
			mu.Lock()
			tries[name] = append(tries[name], try{id, time.Now()})
			mu.Unlock()
			a := send(v, "POST", deskHost, "/desk/"+name, map[string]string{"Request-Id": id, "Deadline-Ms": "800"}, []byte(name+" document"), 800*time.Millisecond)
			note("%s as %s at %s: %s", name, id, v.name, a)
			if a.status/100 == 2 || a.status/100 == 4 && a.status != http.StatusTooManyRequests {
				return
			}
		}
	}
	for round := range 12 {
		wg.Add(2)
		go deliver("crash-x", round)
		if os.Getenv("ONE") != "" { // for a comparison
			wg.Done()
		} else {
			go deliver("crash-y", round+1)
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	broken := false
	for _, name := range []string{"crash-x", "crash-y"} {
		h := history[name]
		late := 0
		if len(h.crashes) >= 3 {
			for _, t := range tries[name] {
				if t.at.After(h.crashes[2].Add(stableTime)) && h.reached[t.id] {
					late++
				}
			}
			note("%s: third crash at %.3f", name, since(h.crashes[2]))
		}
		note("%s: %d tries, %d crashes, %d tries reached servers later than StableMs after the third crash (3 allowed)", name, len(tries[name]), len(h.crashes), late)
		broken = broken || late > 3
	}
	return broken
}
