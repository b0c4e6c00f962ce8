package usage

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Timing of the shell.
const (
	// appendDelay is the time between a request and the append that includes it. The store has the rest of the second.
	appendDelay = 800 * time.Millisecond
	// appendRetryDelay is the pause after an append that failed.
	appendRetryDelay = 250 * time.Millisecond
	// storeTimeout bounds a store call. It must cover one response of a slow store.
	storeTimeout = 500 * time.Millisecond
	// readInterval is the time between two reads of the counts by the holder.
	readInterval = time.Second
	// stepInterval is the time between two steps of the holder, failureDelay the pause after a report that the platform did not take.
	stepInterval = 200 * time.Millisecond
	failureDelay = 500 * time.Millisecond
	// sendTimeout bounds a call to the platform's API. It must be below the order window of a tenure, so that no call of a replaced holder
	// arrives later than its successor allows for.
	sendTimeout = 400 * time.Millisecond
	// cutOffDelay is how long reports fail before the holder checks whether it is cut off from the API, and the time between two checks.
	cutOffDelay = time.Second
	// maxReadBytes is the approximate maximum size of a read.
	maxReadBytes = 256 << 10
	// tailRecords is the number of records of TopicReports that a new holder reads. The windows in time need two or three.
	tailRecords = 1000
)

// TenureTopic is the log topic of the duty's tenure.
const TenureTopic = "usage-tenure"

// Tenure is the right to send reports.
type Tenure interface {
	Held() (token int64, held bool)
	// OrderDelay returns the time until reports may be sent; ok is false if the tenure is not held.
	OrderDelay() (wait time.Duration, ok bool)
	// BeginWave records a wave of reports, which may be sent while MaySend returns true.
	BeginWave(ctx context.Context) error
	MaySend() bool
	// Yield gives the tenure to another VM that can do the work. It returns false if the store did not take that.
	Yield(ctx context.Context) bool
}

// Options are the dependencies of a Service.
type Options struct {
	// VM is the name of this VM, Process identifies its process.
	VM, Process string
	// Window is the length of a window, Due the time after its end by which it must be reported.
	Window, Due time.Duration
	// Partitions is the number of partitions of each topic; MaxRecordBytes limits a record.
	Partitions, MaxRecordBytes int
	Store                      store.Log
	API                        duties.API
	// CutOff reports whether this VM opens no connection to the API while another VM does. It may block for some time; nil means that it is
	// not known.
	CutOff func(ctx context.Context) bool
	// Wall is the time of day, BootTime the time since boot including suspensions.
	Wall     func() time.Time
	BootTime func() time.Duration
	Log      *slog.Logger
	Metrics  *process.Metrics
}

// Service counts this VM's requests and reports those of all VMs while it has the duty.
type Service struct {
	opts      Options
	startedAt time.Time
	metrics   *expvar.Map
	// dirty and tenureChanged wake up the appender and the reporter.
	dirty, tenureChanged chan struct{}
	appending            sync.Mutex // serializes appends of counts
	storeOutage          process.Outage

	mu      sync.Mutex
	counter Counter
	tenure  Tenure
	last    []WindowState // of the last session
}

// New returns a service. It makes no call until Run.
func New(o Options) *Service {
	return &Service{
		opts: o, startedAt: o.Wall(), metrics: o.Metrics.SubMap("usage"), dirty: make(chan struct{}, 1), tenureChanged: make(chan struct{}, 1),
		counter: Counter{Window: o.Window, Due: o.Due, VM: o.VM, Process: o.Process, MaxRecordBytes: o.MaxRecordBytes},
	}
}

func (s *Service) partitions() int { return max(1, min(maxCountPartitions, s.opts.Partitions)) }

// Began counts a request of an organisation that a target began to run, or may have, at a time.
func (s *Service) Began(organisation string, at time.Time) { s.count(organisation, at, 1) }

// Retract takes back a count of Began: the request has not run.
func (s *Service) Retract(organisation string, at time.Time) { s.count(organisation, at, -1) }

func (s *Service) count(organisation string, at time.Time, n int64) {
	s.mu.Lock()
	dropped := s.counter.Add(at, organisation, n)
	s.mu.Unlock()
	s.metrics.Add("counted", n)
	s.recordDropped(dropped)
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

func (s *Service) recordDropped(n int64) {
	if n > 0 {
		s.metrics.Add("dropped", n)
		s.opts.Log.Warn("usage_dropped", "requests", n, "reason", "the store did not take the counts in the time for their report")
	}
}

// Run appends counts, and reports while t is held, until ctx ends.
func (s *Service) Run(ctx context.Context, t Tenure) {
	s.mu.Lock()
	s.tenure = t
	s.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.appendCounts(ctx) })
	for ctx.Err() == nil {
		if _, held := t.Held(); held {
			s.hold(ctx, t)
			continue
		}
		select {
		case <-s.tenureChanged:
		case <-ctx.Done():
		}
	}
}

// TenureChanged tells that the tenure was taken or lost. It does not call the tenure.
func (s *Service) TenureChanged() {
	select {
	case s.tenureChanged <- struct{}{}:
	default:
	}
}

// appendCounts appends what was counted, at most appendDelay after the first request.
func (s *Service) appendCounts(ctx context.Context) {
	for {
		select {
		case <-s.dirty:
		case <-ctx.Done():
			return
		}
		process.Sleep(ctx, appendDelay)
		for ctx.Err() == nil && s.appendAll(ctx) != nil {
			process.Sleep(ctx, appendRetryDelay)
		}
	}
}

// Flush appends what was counted, until the store has all or ctx ends.
func (s *Service) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		if s.appendAll(ctx) == nil {
			s.mu.Lock()
			empty := s.counter.Empty()
			s.mu.Unlock()
			if empty {
				return
			}
			continue
		}
		process.Sleep(ctx, appendRetryDelay)
	}
}

// appendAll appends what was counted. After a repeated append it appends what was counted meanwhile at once: the holder waits only for
// a short time after an outage of the store.
func (s *Service) appendAll(ctx context.Context) error {
	s.appending.Lock()
	defer s.appending.Unlock()
	s.mu.Lock()
	repeated := s.counter.Unanswered()
	s.mu.Unlock()
	err := s.appendOnce(ctx)
	if err == nil && repeated {
		err = s.appendOnce(ctx)
	}
	return err
}

// appendOnce appends the records whose append has an unknown outcome, or the counts since. The caller holds appending.
func (s *Service) appendOnce(ctx context.Context) error {
	s.mu.Lock()
	now := s.opts.Wall()
	dropped := s.counter.Expire(now)
	empty := s.counter.Empty()
	var records [][]byte
	var err error
	if !empty {
		records, err = s.counter.Next(now)
	}
	s.mu.Unlock()
	s.recordDropped(dropped)
	if empty || err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p := store.Partition{Topic: TopicCounts, Index: store.PartitionIndex(s.opts.VM, s.partitions())}
	if _, err := s.opts.Store.Append(callCtx, p, records); err != nil {
		s.storeOutage.Failed(s.opts.Log, "usage_store", err)
		return err
	}
	s.storeOutage.Recovered(s.opts.Log, "usage_store")
	s.metrics.Add("records", int64(len(records)))
	s.mu.Lock()
	s.counter.Appended()
	empty = s.counter.Empty()
	s.mu.Unlock()
	if !empty { // counted during the append
		select {
		case s.dirty <- struct{}{}:
		default:
		}
	}
	return nil
}

// hold reports until the tenure is lost or ctx ends.
func (s *Service) hold(ctx context.Context, t Tenure) {
	x := newSession(s, t)
	for ctx.Err() == nil {
		if _, held := t.Held(); !held {
			break
		}
		pause := x.step(ctx)
		s.mu.Lock()
		s.last = x.ledger.Windows()
		s.mu.Unlock()
		process.Sleep(ctx, pause)
	}
}

// State is the usage part of the state dump.
type State struct {
	// Pending is the number of this VM's requests that the store doesn't have yet.
	Pending int64 `json:"pending"`
	Held    bool  `json:"held"`
	Token   int64 `json:"token,omitempty"`
	// Holder is the process that has the duty, as far as this VM knows.
	Holder string `json:"holder,omitempty"`
	// Windows are the last windows that this VM knows of from the time when it had the duty.
	Windows []WindowState `json:"windows,omitempty"`
}

// State returns the usage part of the state dump.
func (s *Service) State() State {
	s.mu.Lock()
	out, t := State{Pending: s.counter.Pending(), Windows: s.last}, s.tenure
	s.mu.Unlock()
	if t != nil { // its lock may be held during a store call, for which requests must not wait
		out.Token, out.Held = t.Held()
	}
	return out
}
