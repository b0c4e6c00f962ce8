package gate

import (
	"compress/gzip"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

// gzipWriter compresses an answer and flushes each write at once.
type gzipWriter struct {
	http.ResponseWriter
	gz *gzip.Writer
	// writesLeft is the number of writes before the connection is cut; negative means never.
	writesLeft int
	cut        *atomic.Int64
}

func (w *gzipWriter) Write(p []byte) (int, error) {
	if w.writesLeft == 0 {
		w.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
	w.writesLeft--
	n, err := w.gz.Write(p)
	w.Flush()
	return n, err
}

func (w *gzipWriter) Flush() {
	_ = w.gz.Flush() // fails only if the client has disconnected
	w.ResponseWriter.(http.Flusher).Flush()
}

// serveGzip serves h, with gzip if the client accepts it. The connections of the first cuts completions are
// cut after two writes.
func serveGzip(t *testing.T, h http.Handler, cuts int64) (address string, cut *atomic.Int64) {
	t.Helper()
	var served atomic.Int64
	cut = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		z := &gzipWriter{ResponseWriter: w, gz: gzip.NewWriter(w), writesLeft: -1, cut: cut}
		if r.URL.Path == trial.PathCompletions && served.Add(1) <= cuts {
			z.writesLeft = 2
		}
		h.ServeHTTP(z, r)
		_ = z.gz.Close() // fails only if the client has disconnected
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), cut
}

func TestGzipAnswersAreCompleteDespiteTruncation(t *testing.T) {
	for name, cuts := range map[string]int64{"whole": 0, "cut in the compressed stream": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fleetOptions{gates: 1, engines: 1})
			address, cut := serveGzip(t, f.engines[0].Handler(), cuts)
			f.steward.set(func(st *wire.State) {
				tables := *st.Tables
				tables.Pools = slices.Clone(tables.Pools)
				tables.Pools[0].Targets = slices.Clone(tables.Pools[0].Targets)
				tables.Pools[0].Targets[0].Address = address
				st.Tables, st.Revision = &tables, 2
			})
			f.await("the gate has the new address", func() bool {
				_, revision := f.gates[0].gate.state.Tables()
				return revision == 2
			})
			for k := range 4 {
				prompt := fmt.Sprintf("a compressed correction %d", k)
				got, _ := f.complete(0, prompt, 40)
				is.Equal(got, expectedText(prompt, 1, 40))
			}
			is.Equal(cut.Load(), cuts) // the fault has occurred
		})
	}
}
