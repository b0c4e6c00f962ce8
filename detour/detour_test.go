package detour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// fakeTargets are the targets as one VM sees them.
type fakeTargets struct {
	targets.Client
	mu sync.Mutex
	// unreached makes all connections fail, silent makes calls that were sent wait for their end.
	unreached, silent bool
	// refused holds the targets that refuse connections.
	refused map[string]bool
	respond func(ctx context.Context, call *targets.Call) (*targets.Response, error)
	calls   []*targets.Call
}

// set changes the targets.
func (f *fakeTargets) set(change func(f *fakeTargets)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTargets) Connect(_ context.Context, in *fleet.Instance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.refused[in.Name]:
		return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case f.unreached || f.silent:
		return errors.New("no answer")
	}
	return nil
}

func (f *fakeTargets) Do(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	f.mu.Lock()
	unreached, silent, respond := f.unreached, f.silent, f.respond
	if !unreached {
		f.calls = append(f.calls, call)
	}
	f.mu.Unlock()
	switch {
	case unreached:
		return nil, targets.NotSent(errors.New("no route"))
	case silent:
		<-ctx.Done()
		return nil, context.Cause(ctx)
	case respond != nil:
		return respond(ctx, call)
	}
	return answer("done"), nil
}

func (f *fakeTargets) sent() []*targets.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// answer returns a successful response.
func answer(body string) *targets.Response {
	return &targets.Response{Status: http.StatusOK, Header: http.Header{"X": {"y"}}, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body)), Proof: "p", Version: 3, Load: &targets.Load{Running: 1, Slots: 4}}
}

// testVM is a VM of a test.
type testVM struct {
	fleet.VM
	client  *Client
	server  *Server
	targets *fakeTargets
}

// newTestVMs starts VMs that know each other and a pool of targets.
func newTestVMs(t *testing.T, n int) (vms []*testVM, in *fleet.Instance) {
	t.Helper()
	all := instances(3)
	view := fleet.NewView()
	view.Set(&fleet.Snapshot{Instances: all})
	var announced []fleet.VM
	for i := range n {
		v := &testVM{VM: fleet.VM{Name: fmt.Sprint("vm-", i), AvailabilityZone: "a"}, targets: &fakeTargets{}}
		v.client = New(Options{Self: v.VM, View: view, Targets: v.targets, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
		t.Cleanup(v.client.Close)
		v.server = &Server{Client: v.client, Direct: v.client.Direct(), Draining: func(*fleet.Instance) bool { return false }}
		server := httptest.NewServer(v.server)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		v.RelayAddress = strings.TrimPrefix(server.URL, "http://")
		announced = append(announced, v.VM)
		vms = append(vms, v)
	}
	for _, v := range vms {
		v.client.SetVMs(announced)
	}
	return vms, all[0]
}

func newCall(in *fleet.Instance) *targets.Call {
	return &targets.Call{Instance: in, Method: http.MethodPost, Host: "desk.example", URI: "/desk/a?b=c", Header: http.Header{"Model": {"m"}}, Body: []byte("x"),
		RequestID: "r1", Budget: time.Second, Priority: targets.NoPriority}
}

func readBody(t *testing.T, r *targets.Response) string {
	t.Helper()
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestCallThatIsNotSentGoesThroughAnotherVM(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
	limit := 2.5
	vms[1].targets.respond = func(context.Context, *targets.Call) (*targets.Response, error) {
		r := answer("done")
		r.RateLimit, r.Draining = &limit, true
		return r, nil
	}
	call := newCall(in)
	call.ResumeAfter, call.Priority, call.NewConnection = 4, 2, true
	r, err := vms[0].client.Do(t.Context(), call)
	is.NoErr(err)
	is.Equal(readBody(t, r), "done")
	r.Body = nil
	is.Equal(r, &targets.Response{
		Status: http.StatusOK, Header: http.Header{"X": {"y"}}, Length: 4, Proof: "p", Version: 3, Load: &targets.Load{Running: 1, Slots: 4}, RateLimit: &limit, Draining: true, Via: "vm-1",
	}) // as the target sent it
	got := vms[1].targets.sent()[0]
	is.True(got.Budget > 0 && got.Budget <= call.Budget)
	want := *call
	want.Budget = got.Budget
	is.Equal(*got, want)
	is.Equal(len(vms[1].targets.sent()), 1)
	is.True(!vms[0].client.paths.direct(in.Key()))
	_, err = vms[0].client.Do(t.Context(), newCall(in))
	is.NoErr(err)
	is.Equal(len(vms[1].targets.sent()), 2) // without a try of the direct path
	call.Header = http.Header{}             // like that of a scoring call
	_, err = vms[0].client.Do(t.Context(), call)
	is.NoErr(err)
	is.True(vms[1].targets.sent()[2].Header != nil) // the adapter adds to it
}

// TestCallPassesThroughOneVMOnly cuts all VMs off: each asks the others, and none passes a call on that it could only send through a third.
func TestCallPassesThroughOneVMOnly(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 4)
	for _, v := range vms {
		v.targets.set(func(f *fakeTargets) { f.unreached = true })
	}
	for range 3 {
		begin := time.Now()
		_, err := vms[0].client.Do(t.Context(), newCall(in))
		is.True(err != nil && !targets.Sent(err)) // known not to have run
		is.True(time.Since(begin) < time.Second)  // at once, not at the end of its time
	}
	// A VM that could send the call only through a third one declines it.
	vms, in = newTestVMs(t, 3)
	for _, v := range vms[:2] {
		v.targets.set(func(f *fakeTargets) { f.unreached = true })
	}
	vms[0].client.SetVMs([]fleet.VM{vms[1].VM})
	_, err := vms[0].client.Do(t.Context(), newCall(in))
	is.True(err != nil && !targets.Sent(err))
	is.Equal(len(vms[2].targets.sent()), 0)
}

// TestOtherVMsAreNotAskedForADeadTargetAgainAndAgain ends one target: each call to it would cost two more connection attempts.
func TestOtherVMsAreNotAskedForADeadTargetAgainAndAgain(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 4)
	for _, v := range vms {
		v.targets.set(func(f *fakeTargets) { f.unreached = true })
		v.client.paths.observe(time.Now().Add(time.Minute)) // other targets are reached
	}
	for range 5 {
		_, err := vms[0].client.Do(t.Context(), newCall(in))
		is.True(err != nil && !targets.Sent(err))
	}
	is.Equal(vms[0].client.events.Get("missed").String(), "2")
	is.True(vms[0].client.paths.direct(in.Key())) // the path is not at fault
}

// TestSentCallIsNotSentAgain breaks the connection to the VM in between after the call was sent: the target may have run it.
func TestSentCallIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 3)
	vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
	for _, v := range vms[1:] {
		v.targets.respond = func(context.Context, *targets.Call) (*targets.Response, error) { return nil, errors.New("reset") }
	}
	_, err := vms[0].client.Do(t.Context(), newCall(in))
	is.True(err != nil && targets.Sent(err))
	is.Equal(len(vms[1].targets.sent())+len(vms[2].targets.sent()), 1)
	is.Equal(len(vms[0].client.State().Through), 1) // the VM is not to blame
	// An answer that breaks off must not look complete.
	for _, v := range vms[1:] {
		v.targets.respond = func(context.Context, *targets.Call) (*targets.Response, error) {
			r := answer("")
			r.Length, r.Body = -1, io.NopCloser(io.MultiReader(strings.NewReader("id: 1\n"), brokenReader{}))
			return r, nil
		}
	}
	r, err := vms[0].client.Do(t.Context(), newCall(in))
	is.NoErr(err)
	_, err = io.ReadAll(r.Body)
	is.True(err != nil)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestCancellationReachesTheTargetThroughAnotherVM(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
	began, ended := make(chan struct{}), make(chan struct{})
	vms[1].targets.respond = func(ctx context.Context, _ *targets.Call) (*targets.Response, error) {
		close(began)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	_, err := vms[0].client.Do(ctx, newCall(in))
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond): // the rule's time for work whose caller has left
		t.Fatal("the target works on after the caller has left")
	}
}

// TestSlowTargetDoesNotCountAgainstTheVMInBetween replays a cut of the holder of a pool: calls to slow targets ran out of time, the VMs in between were taken for silent, and
// after a second none was left.
func TestSlowTargetDoesNotCountAgainstTheVMInBetween(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
	vms[1].targets.respond = func(ctx context.Context, _ *targets.Call) (*targets.Response, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := vms[0].client.Do(ctx, newCall(in))
	is.True(errors.Is(err, context.DeadlineExceeded))
	vms[1].targets.set(func(f *fakeTargets) { f.respond = nil })
	r, err := vms[0].client.Do(t.Context(), newCall(in))
	is.NoErr(err)
	is.Equal(r.Via, "vm-1")
}

func TestStreamsPassEventByEvent(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
	body, events := io.Pipe()
	closed := make(chan struct{})
	vms[1].targets.respond = func(ctx context.Context, _ *targets.Call) (*targets.Response, error) {
		context.AfterFunc(ctx, func() { close(closed) })
		r := answer("")
		r.Length, r.Body = -1, body
		return r, nil
	}
	r, err := vms[0].client.Do(t.Context(), newCall(in)) // before the first event
	is.NoErr(err)
	buf := make([]byte, 64)
	for i := range 3 {
		event := fmt.Sprintf("id: %d\n\n", i)
		go func() { _, _ = events.Write([]byte(event)) }()
		n, err := io.ReadFull(r.Body, buf[:len(event)])
		is.NoErr(err)
		is.Equal(string(buf[:n]), event) // each one before the next is sent
	}
	r.Body.Close()
	events.Close()
	<-closed
}

// TestStoppingVMCompletesWhatItPassesOn stops a VM while the target works on a call that it has passed on.
func TestStoppingVMCompletesWhatItPassesOn(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
	began, finish := make(chan struct{}), make(chan struct{})
	vms[1].targets.respond = func(context.Context, *targets.Call) (*targets.Response, error) {
		close(began)
		<-finish
		return answer("done"), nil
	}
	result := make(chan error, 1)
	go func() {
		r, err := vms[0].client.Do(t.Context(), newCall(in))
		if err == nil {
			_, err = io.ReadAll(r.Body)
		}
		result <- err
	}()
	<-began
	vms[1].client.StopPassingOn()
	drained := make(chan struct{})
	go func() {
		vms[1].server.Drain(t.Context())
		close(drained)
	}()
	select {
	case <-drained:
		t.Fatal("the call was not waited for")
	case <-time.After(5 * drainPoll):
	}
	close(finish)
	<-drained
	is.NoErr(<-result)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	vms[1].server.calls.Store(1)
	vms[1].server.Drain(ctx) // the grace period is over
}

func TestVMDeclinesWhatItMustNotPassOn(t *testing.T) {
	for name, prepare := range map[string]func(v *testVM, in *fleet.Instance) *fleet.Instance{
		"busy":     func(v *testVM, in *fleet.Instance) *fleet.Instance { v.server.calls.Store(maxCalls); return in },
		"stopping": func(v *testVM, in *fleet.Instance) *fleet.Instance { v.client.StopPassingOn(); return in },
		"draining": func(v *testVM, in *fleet.Instance) *fleet.Instance {
			v.server.Draining = func(*fleet.Instance) bool { return true }
			return in
		},
		"unknown": func(_ *testVM, in *fleet.Instance) *fleet.Instance {
			other := *in
			other.StartedMs = 7 // another instance with the same ID
			return &other
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vms, in := newTestVMs(t, 3)
			vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
			for _, v := range vms[2:] {
				v.targets.set(func(f *fakeTargets) { f.unreached = true })
			}
			in = prepare(vms[1], in)
			_, err := vms[0].client.Do(t.Context(), newCall(in))
			is.True(err != nil && !targets.Sent(err))
			is.Equal(len(vms[1].targets.sent()), 0)
			is.True(vms[1].client.events.Get("passed_on."+name) != nil)
		})
	}
}

// TestSilentCallsAreGivenUpWhenTheVMIsStranded lets calls hang on connections that were open when the path was lost. Those that must not be sent
// twice go on waiting.
func TestSilentCallsAreGivenUpWhenTheVMIsStranded(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	vms[0].targets.set(func(f *fakeTargets) { f.silent = true })
	begin := time.Now()
	firstCtx, cancelFirst := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancelFirst()
	_, err := vms[0].client.Do(firstCtx, newCall(in))
	is.True(errors.Is(err, targets.ErrPathLost))
	is.True(time.Since(begin) < 2*silenceLimit)
	is.True(vms[0].client.Stranded())
	r, err := vms[0].client.Do(t.Context(), newCall(in))
	is.NoErr(err)
	is.Equal(r.Via, "vm-1")
	vms[0].targets.set(func(f *fakeTargets) { f.silent = false })
	for deadline := time.Now().Add(time.Second); vms[0].client.Stranded(); time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the direct path is used again within a second
	}
	r, err = vms[0].client.Do(t.Context(), newCall(in))
	is.NoErr(err)
	is.Equal(r.Via, "")

	vms[0].targets.set(func(f *fakeTargets) { f.silent = true })
	once := newCall(in)
	once.NewConnection = true
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = vms[0].client.Do(ctx, once)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(len(vms[1].targets.sent()), 1) // nothing more than before
}

// TestSecondSendTakesAnotherPathInDoubt sends a copy of a request whose first send is unanswered.
func TestSecondSendTakesAnotherPathInDoubt(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	r, err := vms[0].client.Do(t.Context(), newCall(in))
	is.NoErr(err)
	is.Equal(r.Via, "")
	again := newCall(in)
	again.UnansweredSince = time.Now().Add(-time.Second) // a target has answered since
	r, err = vms[0].client.Do(t.Context(), again)
	is.NoErr(err)
	is.Equal(r.Via, "")
	time.Sleep(time.Millisecond)
	again.UnansweredSince = time.Now()
	r, err = vms[0].client.Do(t.Context(), again)
	is.NoErr(err)
	is.Equal(r.Via, "vm-1")
}

// TestVMReachesTargetsByARecentSignOrANewConnection checks what a candidate for a tenure knows of the targets.
func TestVMReachesTargetsByARecentSignOrANewConnection(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	all := []*fleet.Instance{in}
	is.True(vms[0].client.Reaches(t.Context(), all))
	vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
	is.True(!vms[0].client.Reaches(t.Context(), all))
	is.True(vms[0].client.Reaches(t.Context(), nil)) // there is nothing to reach
	is.True(vms[0].client.OthersReach(t.Context(), in))
	vms[1].targets.set(func(f *fakeTargets) { f.unreached = true })
	is.True(vms[0].client.OthersReach(t.Context(), in)) // as of late
	is.True(!vms[1].client.OthersReach(t.Context(), in))
	vms[0].client.SetVMs(nil)
	is.True(vms[0].client.Reaches(t.Context(), all)) // no other VM could
}

// TestMalformedMessagesHarmNothing sends bytes that are no message to a VM.
func TestMalformedMessagesHarmNothing(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 2)
	for _, body := range []string{"", "x", "\x00\x00\x00\x02{", "\xff\xff\xff\xff{}", "\x00\x00\x00\x02[]", "\x00\x00\x00\x02{}"} {
		resp, err := http.Post("http://"+vms[1].RelayAddress+Path, "", strings.NewReader(body))
		is.NoErr(err)
		resp.Body.Close()
	}
	is.Equal(len(vms[1].targets.sent()), 0)
	vms[0].targets.set(func(f *fakeTargets) { f.unreached = true })
	_, err := vms[0].client.Do(t.Context(), newCall(in))
	is.NoErr(err)
	// A VM that answers with bytes that are no message, or with the answer to another request: the call may have run.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	another, err := encodeHead(newAnswerHead(&callHead{RequestID: "another"}, answer("")))
	is.NoErr(err)
	answers := make(chan []byte, 3)
	answers <- []byte("\xff\xff\xff\xff") // to the scout
	answers <- []byte("\xff\xff\xff\xff")
	answers <- another
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(<-answers) }))
	}()
	vms[0].client.SetVMs([]fleet.VM{{Name: "other", AvailabilityZone: "a", RelayAddress: l.Addr().String()}})
	_, err = vms[0].client.Do(t.Context(), newCall(in))
	is.True(err != nil && !targets.Sent(err)) // the VM was only asked whether it reaches targets
	other := vms[0].client.peers.vms["other"]
	for range 2 {
		other.avoidUntil = time.Time{}
		other.served(time.Now(), in.Key())
		_, err = vms[0].client.Do(t.Context(), newCall(in))
		is.True(err != nil && targets.Sent(err)) // it may have passed the call on
	}
	is.True(!targets.Refused(err) && targets.Refused(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}))
}

// TestTargetIsGoneOnlyIfOtherVMsAgree refuses connections to some VMs, as a partition or the end of a target does.
// TestTargetIsGoneBesideOthersThatEnded guards against deaths that are not counted in a burst of crashes: the VM still reaches one target.
func TestTargetIsGoneBesideOthersThatEnded(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	var all []*fleet.Instance
	for i := range 6 {
		all = append(all, &fleet.Instance{Target: config.Target{Name: fmt.Sprintf("t%d", i), AvailabilityZone: "a"}})
	}
	is.Equal(len(p.others(all[0], all, confirmProbes)), len(all)-1) // each of them is tried, until one is reached
}

func TestTargetIsGoneOnlyIfOtherVMsAgree(t *testing.T) {
	const (
		open      = iota // the VM reaches all targets
		ended            // it is refused by one target and reaches the others
		refused          // it is refused by all, as in a cut
		unreached        // it gets no answer from any
	)
	for _, tc := range []struct {
		name   string
		access [3]int // of this VM and two others
		gone   bool
	}{
		{"refused at all VMs", [3]int{ended, ended, ended}, true},
		{"reached", [3]int{open, ended, ended}, false},
		{"refused here only", [3]int{ended, open, open}, false},
		{"reached by one VM", [3]int{ended, ended, open}, false},
		{"others are cut off", [3]int{ended, unreached, refused}, true},
		{"this VM is cut off, others reach it", [3]int{refused, open, refused}, false},
		{"this VM is cut off, others are refused", [3]int{refused, ended, refused}, true},
		{"all VMs are cut off", [3]int{refused, refused, refused}, false},
		{"no VM gets an answer", [3]int{unreached, unreached, unreached}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			vms, in := newTestVMs(t, 3)
			for i, v := range vms {
				switch tc.access[i] {
				case ended:
					v.targets.set(func(f *fakeTargets) { f.refused = map[string]bool{in.Name: true} })
				case refused:
					v.targets.set(func(f *fakeTargets) { f.refused = map[string]bool{"t0": true, "t1": true, "t2": true} })
				case unreached:
					v.targets.set(func(f *fakeTargets) { f.unreached = true })
				}
			}
			is.Equal(vms[0].client.Gone(t.Context(), in), tc.gone)
		})
	}
}
