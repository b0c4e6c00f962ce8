package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/promptcache"
)

// WherePath is the path of the debug server that answers WhereQuery.
const WherePath = "/debug/where"

// Parameters of the query on WherePath.
const (
	WhereHost       = "host"
	WhereURLPath    = "path"
	WhereModel      = "model"
	WhereMinVersion = "min_version"
	WherePrompt     = "prompt" // ID:TOKENS,...
	WhereTokens     = "tokens" // expected output
)

// Where explains where a request or an item of a batch that arrived now would go.
type Where struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"az"`
	TablesVersion    int64  `json:"tables_version"`
	Route            string `json:"route"`
	Pool             string `json:"pool"`
	// Item is set for a route of batches, Request for other routes.
	Item    *batch.Placement   `json:"item,omitempty"`
	Request *forward.Placement `json:"request,omitempty"`
	// Holder is the VM that runs the items of the pool, as far as this one knows.
	Holder string `json:"holder,omitempty"`
	// Refusal is the answer to a request that would not be sent; nil if it would be. An item is never refused, it waits.
	Refusal *forward.Refusal `json:"refusal,omitempty"`
}

// WhereError is the answer to a query that cannot be explained.
type WhereError struct {
	Error string `json:"error"`
	// Known lists what exists: routes with their hosts and path prefixes.
	Known []string `json:"known,omitempty"`
}

func (p *Process) debugRoutes(r *mux.Router) {
	r.HandleFunc(WherePath, p.serveWhere).Methods(http.MethodGet)
}

func (p *Process) serveWhere(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	item := batch.WhereItem{Model: q.Get(WhereModel)}
	for name, set := range map[string]func(int64){WhereMinVersion: func(n int64) { item.MinVersion = n }, WhereTokens: func(n int64) { item.ExpectedTokens = int(n) }} {
		if s := q.Get(name); s != "" {
			n, err := strconv.ParseInt(s, 10, 32)
			if err != nil || n < 0 {
				process.WriteJSON(w, http.StatusBadRequest, WhereError{Error: fmt.Sprintf("%s %.40q is no number of at least 0", name, s)})
				return
			}
			set(n)
		}
	}
	if s := q.Get(WherePrompt); s != "" {
		if item.Prompt = promptcache.ParseParts(s); item.Prompt == nil {
			process.WriteJSON(w, http.StatusBadRequest, WhereError{Error: fmt.Sprintf("prompt %.40q is no list of ID:TOKENS with hexadecimal IDs", s)})
			return
		}
	}
	answer, problem := p.where(time.Now(), q.Get(WhereHost), q.Get(WhereURLPath), item)
	if problem != nil {
		process.WriteJSON(w, http.StatusNotFound, problem)
		return
	}
	process.WriteJSON(w, http.StatusOK, answer)
}

// where explains a request or, on a route of batches, an item. It returns what exists if there is no such route, model or pool.
func (p *Process) where(now time.Time, host, path string, item batch.WhereItem) (*Where, *WhereError) {
	snap, s := p.View.Get(), p.opts.Settings
	out := &Where{VM: s.VM, AvailabilityZone: s.AvailabilityZone}
	if snap.Tables == nil {
		out.Refusal = forward.NoTables()
		return out, nil
	}
	route := snap.Tables.Match(host, path)
	if route == nil {
		problem := &WhereError{Error: fmt.Sprintf("no route has host %.80q and path %.80q", host, path)}
		for i := range snap.Tables.Routes {
			problem.Known = append(problem.Known, snap.Tables.Routes[i].Key())
		}
		slices.Sort(problem.Known)
		return nil, problem
	}
	out.TablesVersion, out.Route = snap.Tables.Version, route.Name
	if !route.Batch {
		if item.Model != "" {
			return nil, &WhereError{Error: fmt.Sprintf("route %s takes single requests; leave out the model", route.Name), Known: batchRoutes(snap.Tables)}
		}
		placement := p.Forwarder.Where(now, snap, route)
		out.Request, out.Pool, out.Refusal = &placement, placement.Pool, placement.Refusal
		return out, nil
	}
	pool := snap.Tables.Pool(route.Pool)
	if pool == nil {
		return nil, &WhereError{Error: fmt.Sprintf("route %s leads to the pool %s, which does not exist", route.Name, route.Pool)}
	}
	if e := pool.Engine; e != nil && item.Model != "" && !slices.Contains(e.Models, item.Model) {
		return nil, &WhereError{Error: fmt.Sprintf("pool %s has no model %.80q", pool.Name, item.Model), Known: e.Models}
	}
	placement := p.Batches.Where(now, route, pool, item)
	out.Item, out.Pool = &placement, pool.Name
	out.Holder = p.tenures.states()[placement.Partition].Holder
	return out, nil
}

// batchRoutes returns the hosts and path prefixes of the routes that take batches.
func batchRoutes(tables *fleet.Tables) []string {
	var out []string
	for i := range tables.Routes {
		if tables.Routes[i].Batch {
			out = append(out, tables.Routes[i].Key())
		}
	}
	slices.Sort(out)
	return out
}
