package standin2

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	batchHost = "rollout.example"
	parts     = 12
)

// result is one of a page.
type result struct {
	ID    string `json:"Id"`
	State string
	Text  string
}

// readResults reads a batch from the start at one machine. ok is false if it did not answer with 200.
func readResults(v *vm, id string) (total int, results []result, ok bool) {
	for {
		a := send(v, "GET", batchHost, fmt.Sprintf("/v1/lots/%s?After=%d", id, len(results)), map[string]string{"Request-Id": newID(), "Wait-Ms": "100"}, nil, 2600*time.Millisecond)
		if a.status != http.StatusOK {
			note("read %s from %d at %s: %s", id, len(results), v.name, a)
			return total, results, false
		}
		var page struct {
			Total, Next int
			Results     []result
		}
		check(json.Unmarshal(a.body, &page))
		total = page.Total
		if len(page.Results) == 0 {
			return total, results, true
		}
		results = append(results, page.Results...)
	}
}

func ids(results []result) string {
	var out []string
	for _, r := range results {
		out = append(out, r.ID[len(r.ID)-3:]+":"+r.State)
	}
	return strings.Join(out, " ")
}

// startEngines starts the engines of the pools.
func startEngines(s *store, pools []string) {
	for p, pool := range pools {
		for i := range 3 {
			sv := newServer(fmt.Sprintf("engine-%s%d", pool[len(pool)-1:], i+1), pool, []string{"zone-a", "zone-b"}[i%2], 8, 0, s)
			sv.models = map[string]int64{"m0": 1}
			sv.eventGap = time.Duration(60+p*10) * time.Millisecond
			sv.runs = func(sv *server, id string, r *http.Request, _ []byte) {
				note("%s runs item %s", id, r.Header.Get("Request-Id"))
			}
			sv.onRequest = func(*server, *http.Request, []byte) bool {
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
				return false
			}
			sv.begin()
		}
	}
}

// startVMs starts n machines and waits until they are ready.
func startVMs(s *store, n int) []*vm {
	var vms []*vm
	for i := range n {
		v := newVM(fmt.Sprintf("vm%d", i+1), []string{"zone-a", "zone-b"}[i%2], s)
		v.writeSettings(true, parts)
		v.start()
		vms = append(vms, v)
	}
	awaitReady(vms)
	return vms
}

// newBatch returns a batch of 12 items.
func newBatch() (id string, body []byte) {
	id, body, _ = newBatchOf(12)
	return id, body
}

// newBatchOf returns a batch of n items, with their IDs.
func newBatchOf(n int) (id string, body []byte, itemIDs []string) {
	items := []m{}
	for range n {
		itemIDs = append(itemIDs, newID())
		items = append(items, m{"Id": itemIDs[len(itemIDs)-1], "Path": "/notes/3/91c4", "Headers": m{"Model": "m0", "Token-Count": "540,400"},
			"Body": base64.StdEncoding.EncodeToString([]byte("prompt")), "Tokens": 940, "Group": "g1"})
	}
	body, err := json.Marshal(m{"Step": 0, "Model": "m0", "MinVersion": 1, "DesiredCount": 1, "Items": items})
	check(err)
	return newID(), body, itemIDs
}

// submit hands a batch in.
func submit(v *vm, id string, body []byte) answer {
	a := send(v, "POST", batchHost, "/notes/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "12000", "Content-Type": "application/json"}, body, 12*time.Second)
	note("batch %s submitted at %s: %s", id, v.name, a)
	return a
}

// partOf returns the partition of a service's batches.
func partOf(service string) int { return int(xxhash.Sum64String(service) % parts) }

// partlyDown refuses the calls to one partition of a topic for d. The returned channel is closed at the end.
func partlyDown(s *store, downTopic string, down int, d time.Duration) <-chan struct{} {
	s.mu.Lock()
	s.refuse = func(_, _, _, topic string, part int) bool { return topic == downTopic && part == down }
	s.mu.Unlock()
	note("the store is partly down: partition %d of %s", down, downTopic)
	whole := make(chan struct{})
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.refuse = nil
		s.mu.Unlock()
		note("the store is whole again")
		close(whole)
	})
	return whole
}

// movedBatch hands in a batch, moves its route to another service, adds two machines, and hands the batch in once more there, while the store is
// partly down.
func movedBatch(trouble bool) bool {
	s := newStore(parts)
	pools := []string{"drafters-c", "drafters-a"}
	note("the partitions of the services are %d and %d", partOf(pools[0]), partOf(pools[1]))
	services := []m{engineService(pools[0], 8, "m0"), engineService(pools[1], 8, "m0")}
	putConfig(s, 1, services, []m{rolloutRoute("notes", batchHost, "/notes/", pools[0])})
	startEngines(s, pools)
	vms := startVMs(s, 3)
	time.Sleep(4 * time.Second)

	id, body := newBatch()
	if a := submit(vms[0], id, body); a.status != http.StatusAccepted {
		check(fmt.Errorf("the batch was not accepted: %s", a))
	}
	seen := map[int]result{} // by position
	broken := false
	read := func(v *vm) {
		total, results, ok := readResults(v, id)
		note("%s has %d of %d results, complete answer %v: %s", v.name, len(results), total, ok, ids(results))
		for i, r := range results {
			before, known := seen[i]
			if !known {
				seen[i] = r
			} else if before.ID != r.ID || before.Text != r.Text {
				note("position %d: item %s at %s, item %s before", i, r.ID, v.name, before.ID)
				broken = true
			}
		}
	}
	readAll := func(vms []*vm, d time.Duration) { // about twice a second, at any machine
		for until, n := time.Now().Add(d), 0; time.Now().Before(until); n++ {
			read(vms[n%len(vms)])
			time.Sleep(500 * time.Millisecond)
		}
	}
	readAll(vms, 300*time.Millisecond)
	putConfig(s, 2, services, []m{rolloutRoute("notes", batchHost, "/notes/", pools[1])})
	time.Sleep(200 * time.Millisecond)
	var added []*vm
	for _, name := range []string{"vm4", "vm5"} {
		v := newVM(name, "zone-b", s)
		v.writeSettings(false, parts)
		v.start()
		added = append(added, v)
	}
	awaitReady(added)
	readAll(vms, 2500*time.Millisecond) // both are in force by now
	var whole <-chan struct{}
	if trouble {
		whole = partlyDown(s, "batches", partOf(pools[0]), 4500*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
	}
	for _, v := range added { // other clients hand it in once more
		for submit(v, id, body).status != http.StatusAccepted {
			time.Sleep(time.Second)
		}
	}
	if trouble {
		<-whole
	}
	readAll(append(vms, added...), 12*time.Second)
	return broken
}
