// Package vmlist implements a stand-in of the platform's list of live and leaving VMs. The list that
// it serves lags behind the actual one.
package vmlist

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
)

const maxVMBytes = 1 << 16

// Options configure the stand-in.
type Options struct {
	// LagMs is the delay until a change is visible in the served list, in milliseconds.
	LagMs int64      `json:"lag_ms,omitempty"`
	VMs   []trial.VM `json:"vms,omitempty"`
	// Now is the clock; nil means time.Now.
	Now func() time.Time `json:"-"`
}

// Faults are the fault switches of the list. The zero value has no faults.
type Faults struct {
	// Crash resets all connections and refuses new ones.
	Crash bool `json:"crash,omitempty"`
	// Outage answers each request with status 503.
	Outage bool `json:"outage,omitempty"`
	// Hang holds each request until its caller cancels it.
	Hang bool `json:"hang,omitempty"`
	// LagMs replaces the lag of the options, in milliseconds; 0 keeps it.
	LagMs int64 `json:"lag_ms,omitempty"`
}

// Crashed returns the Crash switch, for faults.Crasher.
func (f Faults) Crashed() bool { return f.Crash }

// listVersion is a state of the list, valid from the time since.
type listVersion struct {
	since time.Time
	vms   []trial.VM
}

// List is a list of VMs, served with a lag, with fault switches.
type List struct {
	faults.Switches[Faults]
	opts     Options
	mu       sync.Mutex
	versions []listVersion
}

// New returns a list with the VMs of opts, visible at once.
func New(opts Options) *List {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &List{opts: opts, versions: []listVersion{{vms: opts.VMs}}}
}

// Handler returns the list's HTTP handler.
func (l *List) Handler() http.Handler {
	r := mux.NewRouter()
	l.Routes(r)
	r.HandleFunc("/v1/vms", l.handleList).Methods(http.MethodGet)
	return r
}

// Routes adds the endpoint /faults and those that change the actual list: POST /vms adds or replaces
// a VM, DELETE /vms/{name} removes it, POST /vms/{name}/leaving marks it as leaving.
func (l *List) Routes(r *mux.Router) {
	l.RegisterFaults(r)
	r.HandleFunc("/vms", l.handleAdd).Methods(http.MethodPost)
	r.HandleFunc("/vms/{name}", func(w http.ResponseWriter, req *http.Request) {
		l.Remove(mux.Vars(req)["name"])
	}).Methods(http.MethodDelete)
	r.HandleFunc("/vms/{name}/leaving", func(w http.ResponseWriter, req *http.Request) {
		if !l.SetLeaving(mux.Vars(req)["name"], true) {
			http.Error(w, "no such VM; GET /v1/vms lists them", http.StatusNotFound)
		}
	}).Methods(http.MethodPost)
}

func (l *List) handleAdd(w http.ResponseWriter, r *http.Request) {
	var vm trial.VM
	if err := process.ReadJSON(w, r, &vm, maxVMBytes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Put(vm)
}

func (l *List) handleList(w http.ResponseWriter, r *http.Request) {
	f := l.Faults()
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.Outage {
		http.Error(w, faults.ErrDown.Error(), http.StatusServiceUnavailable)
		return
	}
	process.WriteJSON(w, http.StatusOK, trial.VMList{VMs: l.visible()})
}

// visible returns the list as it was the lag ago, and discards older versions.
func (l *List) visible() []trial.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag := time.Duration(l.opts.LagMs) * time.Millisecond
	if ms := l.Faults().LagMs; ms > 0 {
		lag = time.Duration(ms) * time.Millisecond
	}
	cutoff := l.opts.Now().Add(-lag)
	i := len(l.versions) - 1
	for i > 0 && l.versions[i].since.After(cutoff) {
		i--
	}
	l.versions = l.versions[i:]
	return l.versions[0].vms
}

// appendVersion appends a new version of the list: the result of f on a copy of the newest one.
func (l *List) appendVersion(f func([]trial.VM) []trial.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].vms
	l.versions = append(l.versions, listVersion{since: l.opts.Now(), vms: f(append([]trial.VM(nil), newest...))})
}

// Put adds vm or replaces the VM of the same name.
func (l *List) Put(vm trial.VM) {
	l.appendVersion(func(vms []trial.VM) []trial.VM {
		for i := range vms {
			if vms[i].Name == vm.Name {
				vms[i] = vm
				return vms
			}
		}
		return append(vms, vm)
	})
}

// Remove removes the named VM from the list.
func (l *List) Remove(name string) {
	l.appendVersion(func(vms []trial.VM) []trial.VM {
		kept := vms[:0]
		for _, vm := range vms {
			if vm.Name != name {
				kept = append(kept, vm)
			}
		}
		return kept
	})
}

// SetLeaving sets whether the named VM is leaving, and reports whether the VM is on the list.
func (l *List) SetLeaving(name string, leaving bool) bool {
	found := false
	l.appendVersion(func(vms []trial.VM) []trial.VM {
		for i := range vms {
			if vms[i].Name == name {
				vms[i].Leaving = leaving
				found = true
			}
		}
		return vms
	})
	return found
}
