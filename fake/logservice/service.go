// Package logservice implements a stand-in of the platform's append-only log service. Offsets start
// at 1, appends are rate-limited, records expire after a retention period, and reads can long-poll.
// Fault switches simulate outages, slowness and lost answers.
package logservice

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
	"golang.org/x/time/rate"
)

// Bounds of the service.
const (
	// DefaultAppendsPerSecond is the default of Options.AppendsPerSecond.
	DefaultAppendsPerSecond = 300
	// MaxAppendBytes bounds the request body of an append.
	MaxAppendBytes = 8 << 20
	// MaxReadRecords bounds the records of one read.
	MaxReadRecords = 1000
	// MaxWait bounds the wait of a long-poll read.
	MaxWait = 30 * time.Second
)

// Options configure the stand-in.
type Options struct {
	// AppendsPerSecond is the rate limit of appends over all streams; 0 means DefaultAppendsPerSecond.
	AppendsPerSecond float64 `json:"appends_per_second,omitempty"`
	// RetentionMs is how long a record is retained, in milliseconds; 0 means forever.
	RetentionMs int64 `json:"retention_ms,omitempty"`
	// Now is the clock; nil means time.Now.
	Now func() time.Time `json:"-"`
}

// Faults are the fault switches of the log service. The zero value has no faults.
type Faults struct {
	// Crash resets all connections and refuses new ones.
	Crash bool `json:"crash,omitempty"`
	// Outage answers each request with status 503.
	Outage bool `json:"outage,omitempty"`
	// AppendOutage answers appends with status 503; reads succeed.
	AppendOutage bool `json:"append_outage,omitempty"`
	// Hang holds each request until its caller cancels it.
	Hang bool `json:"hang,omitempty"`
	// DelayMs delays each request, in milliseconds.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// LoseAppendAnswers is how many of the next appends take effect without an answer; -1 means all.
	LoseAppendAnswers int `json:"lose_append_answers,omitempty"`
	// FailAppends is how many of the next appends have no effect and get no answer; -1 means all.
	FailAppends int `json:"fail_appends,omitempty"`
	// Stream limits LoseAppendAnswers and FailAppends to one stream; empty means all streams.
	Stream string `json:"stream,omitempty"`
}

// Crashed returns the Crash switch, for faults.Crasher.
func (f Faults) Crashed() bool { return f.Crash }

// Service is an in-memory log service with fault switches.
type Service struct {
	faults.Switches[Faults]
	opts    Options
	limiter *rate.Limiter
	mu      sync.Mutex
	streams map[string]*stream
	appends int64
	reads   int64
}

// New returns a log service without records.
func New(opts Options) *Service {
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	burst := max(1, int(opts.AppendsPerSecond))
	return &Service{opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), burst), streams: map[string]*stream{}}
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	s.Routes(r)
	r.HandleFunc("/v1/streams/{stream}/records", s.handleAppend).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}/records", s.handleRead).Methods(http.MethodGet)
	return r
}

// Routes adds the endpoints /faults, /journal and POST /expire/{stream}, which deletes all records of a stream.
func (s *Service) Routes(r *mux.Router) {
	s.RegisterFaults(r)
	faults.HandleJournal(r, s.Journal)
	r.HandleFunc("/expire/{stream}", func(w http.ResponseWriter, req *http.Request) {
		s.Expire(mux.Vars(req)["stream"])
	}).Methods(http.MethodPost)
}

// Journal holds the counters of the service. A long poll counts as a read each time it looks for records.
type Journal struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	// Next is the offset of the next record by stream.
	Next map[string]trial.Offset `json:"next"`
}

// Journal returns the counters.
func (s *Service) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := Journal{Appends: s.appends, Reads: s.reads, Next: map[string]trial.Offset{}}
	for name, st := range s.streams {
		j.Next[name] = st.next
	}
	return j
}

// Expire deletes all records of a stream, as if their retention period had passed.
func (s *Service) Expire(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.deleteOldest(len(st.records))
}

// stream returns the named stream without its expired records; it is created on first use. The caller holds s.mu.
func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = newStream()
		s.streams[name] = st
	}
	st.expire(s.opts.Now(), time.Duration(s.opts.RetentionMs)*time.Millisecond)
	return st
}

// admit applies the faults that all requests share and reports whether the request may proceed.
func (s *Service) admit(w http.ResponseWriter, r *http.Request) bool {
	f := s.Faults()
	if f.Hang {
		<-r.Context().Done()
		return false
	}
	if !faults.Pause(r.Context(), time.Duration(f.DelayMs)*time.Millisecond) {
		return false
	}
	if f.Outage || f.AppendOutage && r.Method == http.MethodPost {
		http.Error(w, faults.ErrDown.Error(), http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	var req trial.AppendRequest
	if err := process.ReadJSON(w, r, &req, MaxAppendBytes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(req.Records) == 0 {
		http.Error(w, "no records; send at least one", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r) {
		return
	}
	name := mux.Vars(r)["stream"]
	if s.takeFault(name, func(f *Faults) *int { return &f.FailAppends }) {
		faults.Abort()
	}
	if delay := s.reserveAppend(); delay > 0 {
		faults.RespondRateLimited(w, delay, "append rate exceeded; group records and try again")
		return
	}
	first := s.Append(name, req.Records)
	if s.takeFault(name, func(f *Faults) *int { return &f.LoseAppendAnswers }) {
		faults.Abort()
	}
	process.WriteJSON(w, http.StatusOK, trial.AppendResponse{First: first})
}

// reserveAppend takes one append from the rate limit; if the limit is exceeded, it takes none and returns when to retry.
func (s *Service) reserveAppend() time.Duration {
	now := s.opts.Now()
	res := s.limiter.ReserveN(now, 1)
	delay := res.DelayFrom(now)
	if delay > 0 {
		res.CancelAt(now)
	}
	return delay
}

// Append appends records, bypassing the rate limit and the faults, and returns the first offset.
func (s *Service) Append(name string, records []trial.NewRecord) trial.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	return s.stream(name).append(s.opts.Now(), records)
}

// takeFault uses up one count of an append fault of a stream and reports whether the fault applies.
func (s *Service) takeFault(name string, count func(*Faults) *int) (applies bool) {
	s.Update(func(f *Faults) {
		if f.Stream != "" && f.Stream != name {
			return
		}
		n := count(f)
		applies = *n != 0
		if *n > 0 {
			*n--
		}
	})
	return applies
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := queryInt(r, "from", 1)
	limit, err2 := queryInt(r, "limit", MaxReadRecords)
	waitMs, err3 := queryInt(r, "wait_ms", 0)
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if !s.admit(w, r) {
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, MaxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	res := s.read(ctx, mux.Vars(r)["stream"], trial.Offset(from), int(min(limit, MaxReadRecords)))
	if !s.admit(w, r) {
		return // an outage began during the wait
	}
	process.WriteJSON(w, http.StatusOK, res)
}

// read returns at most limit records at or after from. If there are none, it waits for the next append or the end of
// ctx; if records at from have expired, it returns at once.
func (s *Service) read(ctx context.Context, name string, from trial.Offset, limit int) trial.ReadResponse {
	for {
		s.mu.Lock()
		s.reads++
		st := s.stream(name)
		res := trial.ReadResponse{Records: st.read(from, limit), First: st.first(), Next: st.next, RetentionMs: s.opts.RetentionMs}
		appended := st.appended
		s.mu.Unlock()
		if len(res.Records) > 0 || from < res.First {
			return res
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return res
		}
	}
}

// queryInt returns a query parameter, or def if the request has none; negative values are errors.
func queryInt(r *http.Request, key string, def int64) (int64, error) {
	v := r.URL.Query().Get(key)
	if v == "" {
		return def, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%s=%q is no whole number; use 0 or more", key, v)
	}
	return n, nil
}
