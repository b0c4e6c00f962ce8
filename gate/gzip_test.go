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

	"github.com/ibistrail/ibistrail/fake/engine"
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
// cut after two writes, or before the end of the compressed stream if there are fewer.
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
		if z.writesLeft >= 0 { // a busy engine may send an answer in fewer writes
			z.cut.Add(1)
			panic(http.ErrAbortHandler)
		}
		_ = z.gz.Close() // fails only if the client has disconnected
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), cut
}

func TestGzipAnswersAreCompleteDespiteTruncation(t *testing.T) {
	for name, c := range map[string]struct {
		cuts  int64
		rates engine.Rates
	}{
		"whole":                        {},
		"cut in the compressed stream": {cuts: 3},
		"cut of a stream in one event": {cuts: 3, rates: engine.Rates{DecodeTokensPerSecond: 1e6}},
	} {
		t.Run(name, func(t *testing.T) {
			is, cuts := is.New(t), c.cuts
			f := newFleet(t, fleetOptions{gates: 1, engines: 1, rates: c.rates})
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
			// The gate completes a stream at its end marker, which may be before the server cuts the connection.
			f.await("the fault has occurred", func() bool { return cut.Load() == cuts })
		})
	}
}
