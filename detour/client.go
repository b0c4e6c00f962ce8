// Package detour sends calls to targets through another VM while this VM does not reach the targets itself, as in a network partition
// between some VMs and the targets. A call passes through one other VM at most, and is passed on only if nothing of it can have reached
// the target by the direct path. It is built for cuts that begin unnoticed on open connections, hit most VMs or a whole
// availability zone, and end after seconds.
package detour

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/httpcheck"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// Limits and timing of calls.
const (
	// maxPeerTries is the number of VMs that are asked to pass on one call, maxMissedTries that of VMs which do not reach
	// the target: it has ended then.
	maxPeerTries   = 8
	maxMissedTries = 2
	// freshTTL is how long after a sign of a target open connections are trusted with the calls of other VMs.
	freshTTL = 200 * time.Millisecond
	// maxIdlePerPeer is the number of idle connections kept per VM.
	maxIdlePerPeer = 16
	// peerIdleTimeout closes connections to VMs that are not needed any more.
	peerIdleTimeout = 10 * time.Second
)

// Options configure a Client.
type Options struct {
	// Self is this VM.
	Self fleet.VM
	View *fleet.View
	// Targets sends calls directly.
	Targets targets.Client
	// OnStranded is called on a goroutine of its own when this VM no longer reaches any target; it may be nil.
	OnStranded func()
	// Dial opens connections to other VMs; nil means TCP.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Log     *slog.Logger
	Metrics *process.Metrics
}

// Client is a targets.Client that sends calls directly, or through another VM where the direct path is lost. It is safe for
// concurrent use.
type Client struct {
	opts Options
	// pooled reuses connections to VMs, unpooled opens a new one for each call.
	pooled, unpooled *httpcheck.Transport
	// events counts calls through other VMs, and those of other VMs, by outcome.
	events *expvar.Map

	mu    sync.Mutex
	paths *paths
	peers *peers
	// ended holds until when a target is taken to have ended, as neither this VM nor others that reach targets have reached it.
	ended map[fleet.Key]time.Time
	// open holds the direct calls in progress, oldest first.
	open []*directCall
	// silence fires when the paths may have to be checked; nil while no direct call is open.
	silence *time.Timer
	// probing is set while lost paths are probed.
	probing bool
	// stopping is set when a planned stop has begun, closed when the process ends.
	stopping, closed bool
}

// directCall is a direct call in progress.
type directCall struct {
	instance *fleet.Instance
	sentAt   time.Time
	// giveUp ends the call if it may be sent again and has no answer yet; nil otherwise.
	giveUp context.CancelCauseFunc
}

// New returns a client that knows no other VM.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	pooled := &http.Transport{
		DialContext:            func(ctx context.Context, _, address string) (net.Conn, error) { return o.Dial(ctx, address) },
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{
		opts: o, pooled: httpcheck.NewTransport(pooled), unpooled: httpcheck.NewTransport(unpooled), events: o.Metrics.SubMap("detours"), paths: newPaths(), ended: map[fleet.Key]time.Time{},
		peers: newPeers(o.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// SetVMs replaces the announced VMs.
func (c *Client) SetVMs(vms []fleet.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers.set(vms)
}

// StopPassingOn declines the calls of other VMs from now on, at the start of a planned stop.
func (c *Client) StopPassingOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// Close ends the checks of paths.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.silence != nil {
		c.silence.Stop()
	}
}

// Events implements targets.Client.
func (c *Client) Events(body io.Reader) targets.EventReader { return c.opts.Targets.Events(body) }

// WholeEvents implements targets.Client.
func (c *Client) WholeEvents(body io.ReadCloser) io.ReadCloser {
	return c.opts.Targets.WholeEvents(body)
}

// Connect implements targets.Client.
func (c *Client) Connect(ctx context.Context, in *fleet.Instance) error {
	return c.opts.Targets.Connect(ctx, in)
}

// noPathError is the error of a call for which no VM with a path to the target was found. Nothing was sent.
type noPathError struct {
	// asked are the VMs that were asked, with their answers.
	asked []string
}

func (e *noPathError) Error() string {
	return fmt.Sprintf("this VM does not reach the target, and no other VM is known that does (asked: %s); retried automatically", strings.Join(e.asked, ", "))
}

func (e *noPathError) Unwrap() error { return targets.ErrNotSent }

func isNoPath(err error) bool {
	var e *noPathError
	return errors.As(err, &e)
}

// Do implements targets.Client.
func (c *Client) Do(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	begin := time.Now()
	c.mu.Lock()
	direct := c.paths.direct(call.Instance.Key())
	doubtful := !call.UnansweredSince.IsZero() && c.paths.answeredAt.Before(call.UnansweredSince)
	c.mu.Unlock()
	if direct && !doubtful {
		resp, err := c.direct(ctx, call)
		if err == nil || targets.Sent(err) || ctx.Err() != nil || c.hasEnded(call.Instance) {
			return resp, err
		}
		resp, peerErr := c.throughPeers(ctx, call, begin, false)
		if isNoPath(peerErr) {
			return nil, fmt.Errorf("%w; %w", err, peerErr)
		}
		if peerErr == nil {
			c.losePath(call.Instance, err)
		}
		return resp, peerErr
	}
	resp, err := c.throughPeers(ctx, call, begin, true)
	if direct && isNoPath(err) && ctx.Err() == nil {
		return c.direct(ctx, withBudget(call, begin))
	}
	return resp, err
}

// hasEnded reports whether a target is taken to have ended.
func (c *Client) hasEnded(in *fleet.Instance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.ended[in.Key()])
}

// recordEnded records that other VMs did not reach a target either.
func (c *Client) recordEnded(target fleet.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	removeExpired(now, c.ended)
	c.ended[target] = now.Add(missedTTL)
}

// withBudget returns the call with the budget that is left since begin.
func withBudget(call *targets.Call, begin time.Time) *targets.Call {
	out := *call
	if call.Budget > 0 {
		out.Budget = max(time.Millisecond, call.Budget-time.Since(begin))
	}
	return &out
}

// direct sends a call directly and records what it shows of the path.
func (c *Client) direct(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	callCtx, giveUp := context.WithCancelCause(ctx)
	d := c.begin(call, giveUp)
	resp, err := c.opts.Targets.Do(callCtx, call)
	if err != nil {
		c.end(d)
		lost := errors.Is(context.Cause(callCtx), targets.ErrPathLost)
		giveUp(nil)
		switch {
		case ctx.Err() != nil:
		case lost:
			return nil, errPathLost
		default:
			c.checkPaths(call.Instance, !targets.Sent(err))
		}
		return nil, err
	}
	c.mu.Lock()
	d.giveUp = nil
	c.answered(d.sentAt, time.Now(), call.Instance)
	c.mu.Unlock()
	resp.Body = &directBody{ReadCloser: resp.Body, c: c, d: d, release: func() { giveUp(nil) }}
	return resp, nil
}

// errPathLost is the error of a call that was given up because no answer can come.
var errPathLost = fmt.Errorf("%w before it answered; the request is sent again by another path where its route allows it", targets.ErrPathLost)

// giveUpSilent ends the open calls that have waited for too long, since this VM reaches no target. The caller holds the lock.
func (c *Client) giveUpSilent(now time.Time) {
	for _, d := range c.open {
		if d.giveUp != nil && now.Sub(d.sentAt) >= silenceLimit {
			d.giveUp(errPathLost)
		}
	}
}

// begin records that a direct call is sent.
func (c *Client) begin(call *targets.Call, giveUp context.CancelCauseFunc) *directCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &directCall{instance: call.Instance, sentAt: time.Now()}
	if !call.NewConnection {
		d.giveUp = giveUp
	}
	c.open = append(c.open, d)
	if c.silence == nil {
		c.silence = time.AfterFunc(silenceLimit, c.checkSilence)
	} else if len(c.open) == 1 {
		c.silence.Reset(silenceLimit)
	}
	return d
}

// end records that a direct call has ended.
func (c *Client) end(d *directCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.open, d); i >= 0 {
		c.open = slices.Delete(c.open, i, i+1)
	}
	if len(c.open) == 0 {
		c.silence.Stop()
	}
}

// checkSilence checks the paths if direct calls are open and no target has given a sign for too long.
func (c *Client) checkSilence() {
	c.mu.Lock()
	if len(c.open) == 0 || c.closed {
		c.mu.Unlock()
		return
	}
	if c.paths.stranded {
		c.giveUpSilent(time.Now())
	}
	oldest := c.open[0]
	since := oldest.sentAt
	if c.paths.answeredAt.After(since) {
		since = c.paths.answeredAt
	}
	left := silenceLimit - time.Since(since)
	if left <= 0 {
		left = silenceLimit
	} else {
		oldest = nil
	}
	c.silence.Reset(left)
	c.mu.Unlock()
	if oldest != nil {
		c.checkPaths(oldest.instance, false)
	}
}

// directBody records that the target of a direct call gives signs, and when the call ends.
type directBody struct {
	io.ReadCloser
	c       *Client
	d       *directCall
	release func()
	once    sync.Once
}

// Read implements io.Reader.
func (b *directBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		now := time.Now()
		b.c.mu.Lock()
		b.c.paths.observe(now)
		b.c.mu.Unlock()
	}
	return n, err
}

// Close implements io.Closer.
func (b *directBody) Close() error {
	defer b.once.Do(func() {
		b.c.end(b.d)
		b.release()
	})
	return b.ReadCloser.Close()
}

// answered records that a target answered a direct call or a probe. The caller holds the lock.
func (c *Client) answered(sentAt, now time.Time, in *fleet.Instance) {
	stranded, direct := c.paths.stranded, c.paths.direct(in.Key())
	c.paths.answered(sentAt, now, in.Key())
	switch {
	case stranded && !c.paths.stranded:
		c.events.Add("regained", 1)
		c.opts.Log.Info("target_paths", "outcome", "regained", "target", in.Name, "ms", now.Sub(c.paths.strandedAt).Milliseconds())
	case !direct && c.paths.direct(in.Key()):
		c.opts.Log.Info("target_path", "target", in.Name, "outcome", "regained")
	}
}

// losePath records that another VM reaches a target that this VM does not reach.
func (c *Client) losePath(in *fleet.Instance, err error) {
	c.mu.Lock()
	if c.paths.direct(in.Key()) {
		c.paths.lose(time.Now(), in.Key())
		c.opts.Log.Warn("target_path", "target", in.Name, "outcome", "lost", "err", err)
	}
	c.mu.Unlock()
	c.startProbing()
}

// checkPaths starts to check the direct paths because of a doubt about the one to in, which was not reached if missed is set. Without other VMs
// there is nothing to choose.
func (c *Client) checkPaths(in *fleet.Instance, missed bool) {
	all := c.opts.View.Get().Instances
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.peers.vms) == 0 || c.closed {
		return
	}
	c.startProbes(c.paths.startCheck(time.Now(), in, missed, all))
}

// startProbes probes targets for the check in progress. The caller holds the lock.
func (c *Client) startProbes(instances []*fleet.Instance) {
	for _, in := range instances {
		go func() { c.recordCheck(in, c.opts.Targets.Connect(context.Background(), in) == nil) }()
	}
}

// recordCheck records one probe of a check.
func (c *Client) recordCheck(in *fleet.Instance, reached bool) {
	c.mu.Lock()
	wasStranded, now := c.paths.stranded, time.Now()
	c.startProbes(c.paths.checked(now, in.Key(), reached, c.opts.View.Get().Instances))
	if c.paths.stranded && !wasStranded {
		c.events.Add("stranded", 1)
		c.opts.Log.Warn("target_paths", "outcome", "lost", "silent_ms", now.Sub(c.paths.answeredAt).Milliseconds(), "open_calls", len(c.open))
		c.giveUpSilent(now)
		if c.opts.OnStranded != nil {
			go c.opts.OnStranded()
		}
	}
	c.mu.Unlock()
	c.startProbing()
}

// startProbing starts to probe lost paths, until all are back.
func (c *Client) startProbing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.probing || c.closed || !c.paths.impaired() {
		return
	}
	c.probing = true
	go c.probe()
}

func (c *Client) probe() {
	for {
		time.Sleep(checkPause)
		c.mu.Lock()
		var in *fleet.Instance
		if !c.closed {
			in = c.paths.nextProbe(c.opts.View.Get().Instances)
		}
		if in == nil {
			c.probing = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		sentAt := time.Now()
		if c.opts.Targets.Connect(context.Background(), in) == nil {
			c.mu.Lock()
			c.answered(sentAt, time.Now(), in)
			c.mu.Unlock()
		}
	}
}
