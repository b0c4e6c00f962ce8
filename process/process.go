// Package process provides the infrastructure that all daemons share: structured logs, metrics, the debug server
// and a dialer with which tests simulate network partitions.
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

	"github.com/ibistrail/ibistrail/memory"
)

// Version is the release version, set by the linker.
var Version = "dev"

const (
	// debugReadTimeout is the maximum time to read the headers of a request in Serve, maxHeadBytes their size.
	debugReadTimeout = 5 * time.Second
	maxHeadBytes     = 16 << 10
	// maxDebugConnections limits the connections of a debug server, debugStallTimeout how long a peer may read nothing of an answer.
	maxDebugConnections = 16
	debugStallTimeout   = 20 * time.Second
)

// NewLogger returns a logger that writes each event to w as a line of key=value pairs, including the name of the
// process and the ID of the node.
func NewLogger(w io.Writer, level slog.Level, name, id string) *slog.Logger {
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("process", name, "node", id)
}

// DebugServer is the debug server of a process.
type DebugServer struct {
	Metrics *Metrics
	// State returns the value that /debug/state serves as JSON.
	State func() any
	// Ready returns nil if the process is ready for work, or an error with the reason; /readyz serves it.
	Ready func() error
	// Routes adds further routes of the process, if it is not nil.
	Routes func(r *mux.Router)
}

// Handler returns the HTTP handler of the debug server.
func (d *DebugServer) Handler() http.Handler {
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

// Serve serves h on l until ctx is done. It then closes all connections at once and returns nil.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := newServer(h)
	return serve(ctx, l, s, func() error { return s.Serve(l) })
}

// ServeDebug is Serve for metrics and state dumps: beyond maxDebugConnections, a new connection takes the place of another one.
func ServeDebug(ctx context.Context, l net.Listener, h http.Handler) error {
	s := newServer(h)
	return serve(ctx, l, s, func() error {
		return (&memory.Listener{Listener: l, StallTimeout: debugStallTimeout, MaxOpen: maxDebugConnections}).Serve(s)
	})
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: debugReadTimeout, MaxHeaderBytes: maxHeadBytes}
}

func serve(ctx context.Context, l net.Listener, s *http.Server, run func() error) error {
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

// WriteJSON sends a response with the given status and v as indented JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	_ = e.Encode(v) // the client has disconnected
}

// maxDebugBody is the maximum size of a debug request's body, in bytes.
const maxDebugBody = 1 << 20

// ReadJSON decodes the JSON body of r into v. It returns an error if the body exceeds limit bytes or has unknown fields.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any, limit int64) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("body does not decode: %w; send one JSON document of at most %d bytes with the documented fields", err, limit)
	}
	return nil
}
