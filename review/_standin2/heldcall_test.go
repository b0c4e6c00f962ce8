package standin2

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const cancelTime = 3 * time.Second // CancelMs

// link is the network before a server. In a partition it holds the bytes of open channels up until the partition ends, and loses those of a channel
// that its sender has reset. Channels that are opened meanwhile get nothing through.
type link struct {
	net.Listener
	server string

	mu     sync.Mutex
	healed chan struct{} // closed at the end of the partition; nil without one
}

func newLink(server string) *link {
	l, err := net.Listen("tcp", loopbackIP()+":0")
	check(err)
	k := &link{Listener: l, server: server}
	go k.run()
	return k
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
	k.healed = nil
}

// wait returns when there is no partition.
func (k *link) wait() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

func (k *link) run() {
	for {
		c, err := k.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		healed := k.healed
		k.mu.Unlock()
		if healed != nil {
			go func() { <-healed; reset(c) }()
			continue
		}
		s, err := net.Dial("tcp", k.server)
		if err != nil {
			reset(c)
			continue
		}
		go k.pass(c, s)
		go k.pass(s, c)
	}
}

// pass passes the bytes of one direction on.
func (k *link) pass(from, to net.Conn) {
	type chunk struct {
		data []byte
		err  error
	}
	chunks := make(chan chunk, 1024)
	lost := make(chan struct{})
	go func() {
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if err != nil && !errors.Is(err, io.EOF) {
				close(lost)
				return
			}
			chunks <- chunk{buf[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for {
		select {
		case <-lost:
			reset(to)
			return
		case c := <-chunks:
			k.wait()
			select {
			case <-lost:
				reset(to)
				return
			default:
			}
			if _, err := to.Write(c.data); err != nil {
				reset(from)
				return
			}
			if c.err != nil {
				if tcp, ok := to.(*net.TCPConn); ok {
					tcp.CloseWrite()
				}
				return
			}
		}
	}
}

// heldCall hands in a batch just after two of six engines were cut off from all machines, and ends it in less than a second.
func heldCall(trouble bool) bool {
	s := newStore(parts)
	putConfig(s, 1, []m{engineService("drafters-a", 8, "m0")}, []m{rolloutRoute("notes", batchHost, "/notes/", "drafters-a")})
	var mu sync.Mutex
	var links []*link
	runs := map[string][]time.Time{}
	for i := range 6 {
		sv := newServer([]string{"e1", "e2", "e3", "e4", "e5", "e6"}[i], "drafters-a", []string{"zone-a", "zone-b"}[i%2], 8, 0, s)
		sv.models, sv.eventGap = map[string]int64{"m0": 1}, 50*time.Millisecond
		sv.runs = func(_ *server, id string, r *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			item := r.Header.Get("Request-Id")
			runs[item] = append(runs[item], time.Now())
			note("%s runs item %s", id, item)
		}
		sv.beginBehind(func(server string) string {
			k := newLink(server)
			links = append(links, k)
			return k.Addr().String()
		})
	}
	vms := startVMs(s, 3)
	time.Sleep(4 * time.Second)
	for range 3 { // the channels to the engines are open afterwards
		id, body, _ := newBatchOf(36)
		if a := submit(vms[0], id, body); a.status != http.StatusAccepted {
			check(errors.New("the first batch was not accepted"))
		}
		time.Sleep(3 * time.Second)
	}
	if trouble {
		links[0].cut()
		links[1].cut()
		note("e1 and e2 are cut off from all machines")
		time.Sleep(50 * time.Millisecond)
	}
	id, body, items := newBatchOf(36)
	if a := submit(vms[1], id, body); a.status != http.StatusAccepted {
		check(errors.New("the batch was not accepted"))
	}
	time.Sleep(800 * time.Millisecond)
	a := send(vms[2], "DELETE", batchHost, "/v1/lots/"+id, map[string]string{"Request-Id": newID()}, nil, 3*time.Second)
	ended := time.Now()
	note("the end of batch %s at %s: %s", id, vms[2].name, a)
	if a.status != http.StatusOK {
		check(errors.New("the end was not acknowledged"))
	}
	time.Sleep(5 * time.Second)
	if trouble {
		links[0].heal()
		links[1].heal()
		note("the cut has ended")
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, item := range items {
		for _, at := range runs[item] {
			if at.After(ended.Add(cancelTime)) {
				late++
				note("item %s ran %.3f s after the end", item, at.Sub(ended).Seconds())
			}
		}
	}
	note("%d runs of items later than CancelMs after the confirmation of the batch's end (0 allowed)", late)
	return late > 0
}
