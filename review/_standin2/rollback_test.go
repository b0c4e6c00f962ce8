package standin2

import (
	"net/http"
	"syscall"
	"time"
)

// rolledBackRoute hands in a batch just after its route was moved to another service. The store is partly down, so that the machine can't accept it.
// The operator moves the route back, the machine is replaced by a new one, and the client hands the batch in again there.
func rolledBackRoute(trouble bool) bool {
	s := newStore(parts)
	pools := []string{"drafters-c", "drafters-a"}
	note("the partitions of the services are %d and %d", partOf(pools[0]), partOf(pools[1]))
	services := []m{engineService(pools[0], 8, "m0"), engineService(pools[1], 8, "m0")}
	config := func(version int, service string) {
		putConfig(s, version, services, []m{rolloutRoute("notes", batchHost, "/notes/", service)})
	}
	config(1, pools[0])
	startEngines(s, pools)
	vms := startVMs(s, 3)
	time.Sleep(4 * time.Second)

	config(2, pools[1])
	time.Sleep(2500 * time.Millisecond) // it is in force everywhere
	var whole <-chan struct{}
	if trouble {
		whole = partlyDown(s, "batchdata", partOf(pools[1]), 4500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	id, body := newBatch()
	accepted := submit(vms[0], id, body).status == http.StatusAccepted
	config(3, pools[0])
	others := vms
	if trouble {
		time.Sleep(200 * time.Millisecond)
		vms[0].signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		added := newVM("vm4", "zone-a", s)
		added.writeSettings(false, parts)
		added.start()
		awaitReady([]*vm{added})
		others = []*vm{added, vms[1], vms[2]}
		<-whole
	}
	for n := 0; !accepted && n < 5; n++ {
		accepted = submit(others[n%len(others)], id, body).status == http.StatusAccepted
		time.Sleep(time.Second)
	}
	if !accepted {
		note("the batch was accepted nowhere")
		return false
	}
	time.Sleep(6 * time.Second) // all machines are in touch by now
	lost := 0
	for range 10 {
		for _, v := range others {
			a := send(v, "GET", batchHost, "/v1/lots/"+id+"?After=0", map[string]string{"Request-Id": newID(), "Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
			note("read %s at %s: %s, %d bytes", id, v.name, a, len(a.body))
			if a.status == http.StatusNotFound || a.status == http.StatusGone {
				lost++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	note("%d of 30 reads of the accepted batch were answered 404 or 410", lost)
	return lost > 0
}
