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
	modelCount     = 6
	// swapTime is how long a simulated engine takes to load weights.
	swapTime = 500 * time.Millisecond
)

// engines simulates engines that only report their status and execute orders.
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

func (e *engines) close() { _ = e.server.Close() } // no request matters after the measurement

// grow starts engines, one listener each, until there are n.
func (e *engines) grow(n int) error {
	for len(e.addresses) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("capacity: engine %d: %w", len(e.addresses), err)
		}
		a := l.Addr().String()
		e.mu.Lock()
		e.status[a] = &trial.EngineStatus{Boot: "1", Model: modelOfPool(len(e.addresses) / enginesPerPool), Version: 1}
		e.mu.Unlock()
		e.addresses = append(e.addresses, a)
		go func() { _ = e.server.Serve(l) }() // returns when the server is closed
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

// countBelowVersion returns the number of engines of a model with a version lower than version.
func (e *engines) countBelowVersion(model string, version int64) int {
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

// modelOfPool returns the model name of a pool, by its index.
func modelOfPool(pool int) string { return fmt.Sprintf("m%d", pool%modelCount) }

// poolConfig returns the configuration of pool i. All targets of a pool are in one zone.
func (e *engines) poolConfig(i int) config.Pool {
	p := config.Pool{Name: fmt.Sprintf("p%d", i), Kind: config.PoolEngines, Model: modelOfPool(i), Weights: &config.Weights{Follow: true, StalenessWeight: 1}}
	for k := i * enginesPerPool; k < min((i+1)*enginesPerPool, len(e.addresses)); k++ {
		p.Targets = append(p.Targets, config.Target{Name: fmt.Sprintf("e%d", k), Address: e.addresses[k], AvailabilityZone: zoneName(i % zoneCount)})
	}
	return p
}

// poolCount returns the number of pools that all engines fill.
func (e *engines) poolCount() int { return (len(e.addresses) + enginesPerPool - 1) / enginesPerPool }
