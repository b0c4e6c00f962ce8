// Package load drives a deployment from the outside, as its callers and trainers do, checks what
// they get against what the stand-ins must have answered, and measures it.
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

// maxIdleConns bounds the idle connections to one gate.
const maxIdleConns = 256

// Site is a running deployment as its callers and trainers see it.
type Site struct {
	Endpoints deployment.Endpoints
	Tables    config.Tables
	HTTP      *http.Client
	turn      atomic.Uint64
}

// NewSite returns a site with an HTTP client of its own.
func NewSite(e deployment.Endpoints, t config.Tables) *Site {
	return &Site{Endpoints: e, Tables: t, HTTP: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
}

// OpenSite reads the endpoints and tables that `ibisfake plan` has written.
func OpenSite(endpoints, tables string) (*Site, error) {
	var e deployment.Endpoints
	if err := readJSON(endpoints, &e); err != nil {
		return nil, err
	}
	var t config.Tables
	if err := readJSON(tables, &t); err != nil {
		return nil, err
	}
	if len(e.Gates) == 0 {
		return nil, fmt.Errorf("load: %s names no gates; write it with ibisfake plan", endpoints)
	}
	return NewSite(e, t), nil
}

func readJSON(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("load: %w; name a file that ibisfake plan has written", err)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("load: %s does not decode: %w", path, err)
	}
	return nil
}

// gates returns the base URLs of the gates, starting at another one each time, as behind a balancer.
func (s *Site) gates() []string {
	n := len(s.Endpoints.Gates)
	first := int(s.turn.Add(1))
	out := make([]string, n)
	for i := range out {
		out[i] = s.Endpoints.Gates[(first+i)%n].HTTP
	}
	return out
}

func (s *Site) token(caller string) string { return s.Endpoints.Tokens.Callers[caller] }

// model returns what the engines of a route's pool run.
func (s *Site) model(route *config.Route) string {
	if p := s.Tables.Pool(route.Pool); p != nil {
		return p.Model
	}
	return ""
}

// routeOf returns the first route of a kind for which keep holds, or nil.
func (s *Site) routeOf(kind config.RouteKind, keep func(*config.Route) bool) *config.Route {
	for i := range s.Tables.Routes {
		r := &s.Tables.Routes[i]
		if r.Kind == kind && keep(r) {
			return r
		}
	}
	return nil
}
