// Package load generates load on a deployment as its callers and trainers do, checks the responses
// against the answers that the stand-in targets must have given, and measures latency and throughput.
package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/deployment"
)

// maxIdleConns limits the idle connections to each gate.
const maxIdleConns = 256

// Site holds the addresses, tables and HTTP client with which callers and trainers use a running deployment.
type Site struct {
	Endpoints deployment.Endpoints
	Tables    config.Tables
	HTTP      *http.Client
	nextGate  atomic.Uint64 // round-robin counter
}

// NewSite returns a site with an HTTP client of its own.
func NewSite(e deployment.Endpoints, t config.Tables) *Site {
	return &Site{Endpoints: e, Tables: t, HTTP: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
}

// OpenSite reads the endpoints and tables files written by `ibisfake plan`.
func OpenSite(endpointsPath, tablesPath string) (*Site, error) {
	var e deployment.Endpoints
	if err := readJSON(endpointsPath, &e); err != nil {
		return nil, err
	}
	var t config.Tables
	if err := readJSON(tablesPath, &t); err != nil {
		return nil, err
	}
	if len(e.Gates) == 0 {
		return nil, fmt.Errorf("load: %s lists no gates; generate it with ibisfake plan", endpointsPath)
	}
	return NewSite(e, t), nil
}

// readJSON decodes the JSON file at path into v.
func readJSON(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("load: %w; check the path (ibisfake plan writes endpoints and tables, ibisload writes results)", err)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("load: decode %s: %w", path, err)
	}
	return nil
}

// rotatedGates returns the base URLs of all gates. Each call starts with the next gate, as a round-robin balancer does.
func (s *Site) rotatedGates() []string {
	n := len(s.Endpoints.Gates)
	first := int(s.nextGate.Add(1))
	out := make([]string, n)
	for i := range out {
		out[i] = s.Endpoints.Gates[(first+i)%n].HTTP
	}
	return out
}

func (s *Site) token(caller string) string { return s.Endpoints.Tokens.Callers[caller] }

// model returns the model of a route's pool, or "" if the pool does not exist.
func (s *Site) model(route *config.Route) string {
	if p := s.Tables.Pool(route.Pool); p != nil {
		return p.Model
	}
	return ""
}

// findRoute returns the first route of the given kind for which match returns true, or nil.
func (s *Site) findRoute(kind config.RouteKind, match func(*config.Route) bool) *config.Route {
	for i := range s.Tables.Routes {
		r := &s.Tables.Routes[i]
		if r.Kind == kind && match(r) {
			return r
		}
	}
	return nil
}
