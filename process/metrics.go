package process

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics holds the counters and histograms of a node. It is an expvar.Map that is not published globally, so that
// tests and experiments can run several nodes in one process.
type Metrics struct {
	expvar.Map
	mu   sync.Mutex
	hist map[string]*Latency
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	m := &Metrics{hist: map[string]*Latency{}}
	m.Init()
	return m
}

// SubMap returns the map with this name in m. It creates the map on first use.
func (m *Metrics) SubMap(name string) *expvar.Map {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.Get(name).(*expvar.Map); ok {
		return v
	}
	v := new(expvar.Map).Init()
	m.Set(name, v)
	return v
}

// Latency returns the latency histogram with this name, which ends in _seconds. It creates the histogram on first use.
func (m *Metrics) Latency(name string) *Latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hist[name]
	if h == nil {
		h = &Latency{h: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 2)}
		m.hist[name] = h
		m.Set(name, expvar.Func(h.value))
	}
	return h
}

// ServeHTTP serves the metrics as JSON, for /debug/vars.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(m.String()))
}

// Latency is a histogram of durations from 1 µs to 1 h. It is safe for concurrent use.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Observe records d.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(max(1, d.Microseconds())) // durations above 1 h are not recorded
}

// Quantiles is the summary of a Latency, in seconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Quantiles returns the count, the quantiles and the maximum of the recorded durations.
func (l *Latency) Quantiles() Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := func(v int64) float64 { return float64(v) / 1e6 }
	return Quantiles{
		Count: l.h.TotalCount(),
		P50:   s(l.h.ValueAtQuantile(50)),
		P90:   s(l.h.ValueAtQuantile(90)),
		P99:   s(l.h.ValueAtQuantile(99)),
		Max:   s(l.h.Max()),
	}
}

func (l *Latency) value() any { return l.Quantiles() }
