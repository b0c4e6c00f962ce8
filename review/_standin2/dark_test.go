package standin2

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// backlogFill is more than the queue of new channels holds with a backlog of 0.
const backlogFill = 4

// plug is the port of an incarnation, and its channels, which can fall silent.
type plug struct {
	*net.TCPListener
	silent, closed chan struct{}
}

func newPlug(l net.Listener) *plug {
	return &plug{l.(*net.TCPListener), make(chan struct{}), make(chan struct{})}
}

// Accept implements net.Listener.
func (p *plug) Accept() (net.Conn, error) {
	c, err := p.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		<-p.closed
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	return &plugged{c.(*net.TCPConn), p}, nil
}

// plugged is a channel of a plug. It sends nothing while the plug is silent.
type plugged struct {
	*net.TCPConn
	p *plug
}

func (c *plugged) Write(b []byte) (int, error) {
	select {
	case <-c.p.silent:
		<-c.p.closed
		return 0, net.ErrClosed
	default:
		return c.TCPConn.Write(b)
	}
}

// goDark makes the machine of an incarnation silent: its channels stay open without an answer, and new ones do not open, as the queue of its port
// is full. It is back after downFor under another ID, and its entry is removed after three heartbeats of silence.
func (s *server) goDark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	id, p, conns := s.id, s.listener.(*plug), s.conns
	s.up = false
	close(s.stop)
	close(p.silent)
	raw, err := p.SyscallConn()
	check(err)
	check(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	check(err)
	check(p.SetDeadline(time.Now()))
	for range backlogFill {
		go func() {
			if c, err := net.DialTimeout("tcp", s.address, time.Second); err == nil {
				<-p.closed
				c.Close()
			}
		}()
	}
	time.AfterFunc(3*heartbeat, func() { s.write(id, nil) })
	time.AfterFunc(s.downFor, func() {
		s.mu.Lock()
		close(p.closed)
		p.Close()
		for c := range conns {
			reset(c)
		}
		s.mu.Unlock()
		s.begin()
	})
}

// darkeningRequest sends a request after which each server that begins to run it falls silent for some seconds.
func darkeningRequest(trouble bool) bool {
	s := newStore(12)
	putConfig(s, 1, []m{plainService("order-desk"), plainService("pantry")},
		[]m{plainRoute("desk", deskHost, deskPrefix, "order-desk", 800, 150, 3), plainRoute("pantry", deskHost, "/pantry/", "pantry", 3000, 800, 4)})
	var mu sync.Mutex
	h := &crashHistory{reached: map[string]bool{}}
	for i := range 8 {
		sv := newServer(fmt.Sprintf("desk%d", i+1), "order-desk", []string{"zone-a", "zone-b"}[i%2], 6, 25*time.Millisecond, s)
		sv.onRequest = func(sv *server, r *http.Request, body []byte) bool {
			if !strings.HasPrefix(string(body), "crash-x ") {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			h.reached[r.Header.Get("Request-Id")] = true
			note("%s runs crash-x as %s", sv.id, r.Header.Get("Request-Id"))
			if trouble {
				h.crashes = append(h.crashes, time.Now())
				sv.goDark()
			}
			return false
		}
		sv.begin()
	}
	for i := range 4 {
		newServer(fmt.Sprintf("pantry%d", i+1), "pantry", []string{"zone-a", "zone-b"}[i%2], 6, 25*time.Millisecond, s).begin()
	}
	vms := startVMs(s, 4)
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
				id, v := newID(), vms[(n+i)%len(vms)]
				path := []string{"/pantry/c", "/desk/c", "/desk/c"}[n%3]
				a := send(v, "POST", deskHost, path, map[string]string{"Request-Id": id, "Deadline-Ms": "800"}, []byte("entry "+id), 800*time.Millisecond)
				note("%s at %s: %s %s", id, v.name, path, a)
			}
		}()
	}
	tries := map[string]time.Time{}
	for round := range 12 {
		id, v := newID(), vms[round%len(vms)]
		at := time.Now()
		mu.Lock()
		tries[id] = at
		mu.Unlock()
		a := send(v, "POST", deskHost, "/desk/crash-x", map[string]string{"Request-Id": id, "Deadline-Ms": "800"}, []byte("crash-x document"), time.Second)
		note("crash-x as %s at %s: %s", id, v.name, a)
		time.Sleep(time.Until(at.Add(6 * time.Second)))
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(h.crashes) >= 3 {
		for id, at := range tries {
			if at.After(h.crashes[2].Add(stableTime)) && h.reached[id] {
				late++
			}
		}
		note("third crash at %.3f", since(h.crashes[2]))
	}
	note("%d tries, %d crashes, %d tries reached servers later than StableMs after the third crash (3 allowed)", len(tries), len(h.crashes), late)
	return late > 3
}
