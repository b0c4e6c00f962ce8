package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// storeMode is how the store treats the calls of one VM.
type storeMode int32

const (
	storeServes  storeMode = iota
	storeRefuses           // with status 503
	storeBusy              // with status 429
	storeResets            // the connection, before the call is executed
	storeSilent            // no answer
)

// storeAccess is the way of one VM to the store: it passes calls on, or treats them as the store does with VMs that it turns away.
type storeAccess struct {
	server *httptest.Server
	mode   atomic.Int32
}

func newStoreAccess(t *testing.T, s *errata.Store) *storeAccess {
	a := &storeAccess{}
	a.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, s) }))
	t.Cleanup(func() {
		a.server.CloseClientConnections()
		a.server.Close()
	})
	return a
}

func (a *storeAccess) address() string { return strings.TrimPrefix(a.server.URL, "http://") }

func (a *storeAccess) set(m storeMode) { a.mode.Store(int32(m)) }

func (a *storeAccess) serve(w http.ResponseWriter, r *http.Request, s *errata.Store) {
	switch storeMode(a.mode.Load()) {
	case storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeBusy:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case storeResets:
		panic(http.ErrAbortHandler)
	case storeSilent:
		_, _ = io.Copy(io.Discard, r.Body) // lets the server see that the caller disconnects
		<-r.Context().Done()
		return
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, s.URL+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(err)
	}
	out.ContentLength = r.ContentLength
	resp, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// TestHolderTurnedAwayByTheStoreGoesOnThroughAnotherVM replays a day of the large deployment: the store refused the holder for
// 7 s. Another VM took over and began again with the texts that were saved before, while the holder had the whole ones.
func TestHolderTurnedAwayByTheStoreGoesOnThroughAnotherVM(t *testing.T) {
	for name, mode := range map[string]storeMode{"refused": storeRefuses, "busy": storeBusy, "reset": storeResets, "silent": storeSilent} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 2, 1, 3)
			time.Sleep(4 * time.Second) // until the VMs know each other
			for _, e := range d.engines {
				e.Set(func(e *errata.Target) { e.EventsPerStream, e.EventInterval = 100, 25*time.Millisecond })
			}
			d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2", "i3")).status, http.StatusAccepted)
			d.eventually(5*time.Second, "the items run", func() bool { return len(d.engines[0].ExecutedRequests())+len(d.engines[1].ExecutedRequests()) == 3 })
			holder, other := d.holder()
			holder.storeAccess.set(mode)
			d.checkResults(d.readAll(other, "b1", 3, 8*time.Second), 100, "i1", "i2", "i3")
			d.is.True(holder.process.HoldsPool("drafting"))
			d.is.Equal(len(d.engines[0].ExecutedRequests())+len(d.engines[1].ExecutedRequests()), 3) // no item ran twice
			// The VM that is turned away accepts submissions and returns results as well.
			d.is.Equal(d.call(holder, http.MethodPost, "/notes/b2", "b2", submission(2, 0, "i4")).status, http.StatusAccepted)
			d.checkResults(d.readAll(holder, "b2", 1, 8*time.Second), 100, "i4")
			holder.storeAccess.set(storeServes)
			d.eventually(3*time.Second, "the direct path is used again", func() bool {
				return strings.Contains(d.log.String(), "msg=store_path process=entry node="+holder.name+" path=direct")
			})
		})
	}
}

// TestOutageForAllVMsIsNotMultipliedByRelays checks that calls during an outage are not passed around: each VM still asks the
// store itself, and the deployment goes on when it is back.
func TestOutageForAllVMsIsNotMultipliedByRelays(t *testing.T) {
	d := newDeployment(t, 1, 1, 3)
	for _, v := range d.vms {
		v.storeAccess.set(storeRefuses)
	}
	a := d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1"))
	d.is.Equal(a.status, http.StatusServiceUnavailable)
	d.is.True(a.header.Get("Retry-After") != "")
	time.Sleep(time.Second)
	for _, v := range d.vms {
		v.storeAccess.set(storeServes)
	}
	d.eventually(3*time.Second, "a submission is accepted", func() bool {
		return d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1")).status == http.StatusAccepted
	})
	d.readAll(d.vms[1], "b1", 1, 5*time.Second)
}
