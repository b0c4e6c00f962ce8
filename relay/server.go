package relay

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/process"
)

// Server passes the calls of other VMs on to the store. It never asks a third VM.
type Server struct {
	// Transport is the transport of this VM's own calls; a call is only passed on while its direct path is good.
	Transport *Transport
	// StoreAddress is the address of the store, PathPrefix begins the paths of its calls.
	StoreAddress, PathPrefix string
	// MaxBodyBytes limits the body of a call.
	MaxBodyBytes int64
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, s.PathPrefix) {
		http.Error(w, "relay: only calls to the store are passed on", http.StatusNotFound)
		return
	}
	t := s.Transport
	t.mu.Lock()
	usable := !t.paths.directDown
	t.mu.Unlock()
	if !usable {
		unreached(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	if err != nil {
		http.Error(w, "relay: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	u := &url.URL{Scheme: "http", Host: s.StoreAddress, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, u.String(), bytes.NewReader(body))
	if err != nil {
		unreached(w)
		return
	}
	out.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	sentAt := time.Now()
	resp, err := t.opts.Direct.RoundTrip(out)
	t.recordDirect(r.Context(), sentAt, resp, err)
	if err != nil {
		if process.DialFailed(err) {
			unreached(w)
			return
		}
		panic(http.ErrAbortHandler) // the call may have been executed, and the peer must not take it for refused
	}
	defer resp.Body.Close()
	if resp.ContentLength >= 0 {
		w.Header()["Content-Length"] = resp.Header["Content-Length"]
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // the peer must see that the response is incomplete
	}
}

// unreached tells the peer that the call has not been executed.
func unreached(w http.ResponseWriter) {
	w.Header().Set(unreachedHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
