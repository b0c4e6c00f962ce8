// Package process holds what all daemons share: structured logs, metrics, the debug server with
// the state dump, and the exit on signals.
package process

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// Version is the release, set by the linker.
var Version = "dev"

// debugReadTimeout bounds a request to the debug server.
const debugReadTimeout = 5 * time.Second

// NewLogger returns a logger that writes one line of key=value pairs for each event to w.
func NewLogger(w io.Writer, level slog.Level, name, id string) *slog.Logger {
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("process", name, "node", id)
}

// Debug is the debug server of a process.
type Debug struct {
	Metrics *Metrics
	// State returns what /debug/state dumps as JSON.
	State func() any
	// Ready returns nil when the process may get work; the error says why not.
	Ready func() error
	// Routes adds paths of the process's own.
	Routes func(r *mux.Router)
}

// Handler returns the debug server's handler.
func (d *Debug) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/vars", d.Metrics).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, d.State()) }).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}).Methods(http.MethodGet)
	if d.Routes != nil {
		d.Routes(r)
	}
	return r
}

// Serve serves h on l until ctx ends, then stops at once.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: debugReadTimeout}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

// WriteJSON answers with v as indented JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	_ = e.Encode(v) // the peer has gone
}

// maxDebugBody bounds the body of a debug request, in bytes.
const maxDebugBody = 1 << 20

// ReadJSON decodes the body of r, of at most limit bytes, into v; unknown fields are refused.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any, limit int64) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("body does not decode: %w; send one JSON document of at most %d bytes with the documented fields", err, limit)
	}
	return nil
}
