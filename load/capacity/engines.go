package capacity

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
)

const (
	enginesPerPool = 9
	models         = 6
	// swapTime is how long a stand-in engine takes to load weights.
	swapTime = 500 * time.Millisecond
)

// engines are stand-ins that only answer for their status and take orders.
type engines struct {
	server    *http.Server
	mu        sync.Mutex
	status    map[string]*trial.EngineStatus // by address
	addresses []string
}

func newEngines() *engines {
	e := &engines{status: map[string]*trial.EngineStatus{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+trial.PathStatus, e.handleStatus)
	mux.HandleFunc("POST "+trial.PathOrders, e.handleOrder)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout}
	return e
}

func (e *engines) close() { _ = e.server.Close() } // nothing is left to lose

// grow listens on addresses until there are n.
func (e *engines) grow(n int) error {
	for len(e.addresses) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("capacity: engine %d: %w", len(e.addresses), err)
		}
		a := l.Addr().String()
		e.mu.Lock()
		e.status[a] = &trial.EngineStatus{Boot: "1", Model: modelOf(len(e.addresses) / enginesPerPool), Version: 1}
		e.mu.Unlock()
		e.addresses = append(e.addresses, a)
		go func() { _ = e.server.Serve(l) }() // ends with close
	}
	return nil
}

func (e *engines) handleStatus(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := *e.status[r.Host]
	e.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, s)
}

func (e *engines) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o trial.Order
	if err := process.ReadJSON(w, r, &o, 1<<20); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(swapTime)
	e.mu.Lock()
	s := e.status[r.Host]
	s.Version, s.FencingToken = o.Version, o.FencingToken
	res := trial.OrderResponse{Status: *s}
	e.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, res)
}

// behind counts the engines of a model below version.
func (e *engines) behind(model string, version int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.status {
		if s.Model == model && s.Version < version {
			n++
		}
	}
	return n
}

func modelOf(pool int) string { return fmt.Sprintf("m%d", pool%models) }

// pool returns row i; each pool lies in one zone.
func (e *engines) pool(i int) config.Pool {
	p := config.Pool{Name: fmt.Sprintf("p%d", i), Kind: config.PoolEngines, Model: modelOf(i), Weights: &config.Weights{Follow: true, StalenessWeight: 1}}
	for k := i * enginesPerPool; k < min((i+1)*enginesPerPool, len(e.addresses)); k++ {
		p.Targets = append(p.Targets, config.Target{Name: fmt.Sprintf("e%d", k), Address: e.addresses[k], AvailabilityZone: zoneName(i % zones)})
	}
	return p
}

// pools returns how many rows hold all engines.
func (e *engines) pools() int { return (len(e.addresses) + enginesPerPool - 1) / enginesPerPool }
