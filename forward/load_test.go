package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// simTarget runs requests in slots, queues some, and answers that it has not run the rest. The body of a request is its work in ms.
type simTarget struct {
	slots, queue     int
	running, waiting int
	freed            chan struct{} // hands a slot to a request that waits
	runs, refusals   int
	percent          int // how long work takes
}

// simTargets are the targets of a simulated pool, by address.
type simTargets struct {
	targets.Client
	mu sync.Mutex
	by map[string]*simTarget
	// untold is set if the targets do not tell how long work takes.
	untold bool
	// ran holds the IDs of the requests that began to run.
	ran map[string]bool
}

func newSimTargets(n int) *simTargets {
	s := &simTargets{by: map[string]*simTarget{}, ran: map[string]bool{}}
	for i := range n {
		s.by[strconv.Itoa(i+1)] = &simTarget{slots: 6, queue: 12, freed: make(chan struct{}), percent: 100}
	}
	return s
}

func (s *simTargets) Do(_ context.Context, call *targets.Call) (*targets.Response, error) {
	time.Sleep(500 * time.Microsecond)
	work, _ := strconv.Atoi(string(call.Body))
	s.mu.Lock()
	x := s.by[call.Instance.Address]
	percent := x.percent
	answer := func(status int, refused bool) *targets.Response {
		return &targets.Response{
			Status: status, Proof: "p", Body: io.NopCloser(strings.NewReader("")), NotExecuted: refused,
			Load: &targets.Load{Running: x.running, Waiting: x.waiting, Slots: x.slots, WorkPercent: percent},
		}
	}
	defer s.mu.Unlock()
	switch {
	case x.running < x.slots:
		x.running++
	case x.waiting < x.queue:
		x.waiting++
		s.mu.Unlock()
		<-x.freed
		s.mu.Lock()
	default:
		x.refusals++
		return answer(http.StatusServiceUnavailable, true), nil
	}
	s.ran[call.RequestID] = true
	speed := x.percent
	if percent = x.percent; s.untold {
		percent = 0
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(work*speed) * time.Millisecond / 100)
	s.mu.Lock()
	x.runs++
	r := answer(http.StatusOK, false)
	if x.waiting > 0 {
		x.waiting--
		x.freed <- struct{}{}
	} else {
		x.running--
	}
	return r, nil
}

// simLoad counts what became of simulated requests.
type simLoad struct {
	mu                                     sync.Mutex
	asked, served, inTime, quick, refusals map[string]int
	last                                   time.Duration // when the last background request was served
	refused                                []string      // IDs
}

// simulation replays load on VMs that share targets, in the time of a synctest bubble.
type simulation struct {
	*simLoad
	start   time.Time
	vms     []*Forwarder
	targets *simTargets
	wg      sync.WaitGroup
	rand    *rand.Rand
}

func newSimulation(vms, targets int) *simulation {
	s := &simulation{start: time.Now(), rand: rand.New(rand.NewPCG(1, 1)), targets: newSimTargets(targets), simLoad: &simLoad{asked: map[string]int{}, served: map[string]int{}, inTime: map[string]int{}, quick: map[string]int{}, refusals: map[string]int{}}}
	for range vms {
		f := newPoolForwarder(s.targets, fleet.Route{MaxAttempts: 3, TargetLatency: 150 * time.Millisecond}, targets)
		snap := *f.view.Get()
		for i, in := range snap.Instances {
			x := *in
			x.Slots, x.AvailabilityZone = 6, "a"
			snap.Instances[i] = &x
		}
		f.view.Set(&snap)
		s.vms = append(s.vms, f)
	}
	return s
}

// next returns the VM that the balancer chooses.
func (s *simulation) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(len(s.vms))
}

// call sends a request after a time, and again after each refusal while its budget lasts, as callers do.
func (s *simulation) call(after time.Duration, name string, work int, budget time.Duration, background bool) {
	s.wg.Add(1)
	vm := 0 // scoring calls come from the VM that holds the tenure
	go func() {
		defer s.wg.Done()
		time.Sleep(after)
		s.mu.Lock()
		s.asked[name]++
		call := fmt.Sprint(name, " ", s.asked[name])
		s.mu.Unlock()
		begun := time.Now()
		for k := 0; ; k++ {
			left := budget
			if !background {
				left -= time.Since(begun)
				vm = s.next()
			}
			if left <= 0 {
				return
			}
			req := &Request{ID: fmt.Sprint(call, " ", k), Method: http.MethodPost, Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, Body: []byte(strconv.Itoa(work)), Budget: left, Background: background}
			if !background {
				req.Organisation = name
			}
			ctx, cancel := context.WithTimeout(context.Background(), left)
			reply := s.vms[vm].Serve(ctx, req)
			if reply.Body != nil {
				reply.Body.Close()
			}
			cancel()
			s.mu.Lock()
			if reply.Status == http.StatusOK {
				s.served[name]++
				if time.Since(begun) <= 150*time.Millisecond {
					s.inTime[name]++
				}
				if time.Since(begun) <= 75*time.Millisecond {
					s.quick[name]++
				}
				if background {
					s.last = time.Since(s.start)
				}
				s.mu.Unlock()
				return
			}
			s.refusals[name]++
			if reply.Status == http.StatusServiceUnavailable {
				s.refused = append(s.refused, req.ID)
			}
			s.mu.Unlock()
			time.Sleep(max(5*time.Millisecond, reply.RetryAfter))
		}
	}()
}

// report ends a simulation and checks that no refused request has run.
func (s *simulation) report(t *testing.T) {
	t.Helper()
	s.wg.Wait()
	time.Sleep(10 * time.Second) // for the targets' runs of requests that were given up
	s.targets.mu.Lock()          // runs of requests that were given up end by themselves
	defer s.targets.mu.Unlock()
	for _, id := range s.refused {
		if s.targets.ran[id] {
			t.Errorf("request %q was refused and has run", id)
		}
	}
	runs, refusals := []int{}, 0
	for i := range s.targets.by {
		x := s.targets.by[i]
		runs, refusals = append(runs, x.runs), refusals+x.refusals
	}
	t.Logf("asked %v served %v in time %v in half the time %v refused %v; target runs %v, refused by targets %d, last background %v", s.asked, s.served, s.inTime, s.quick, s.refusals, runs, refusals, s.last)
}

// TestBurstOfScoringCallsDoesNotDelayCallers guards against callers' requests that miss their objective, or are refused, while the scoring
// calls of a step fill the pool; and against scoring calls that starve.
func TestBurstOfScoringCallsDoesNotDelayCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(3, 3)
		for i := range 60 {
			s.call(time.Duration(i)*time.Second/12, "callers", 21+i%5, time.Second, false)
		}
		for i := range 200 {
			s.call(time.Second, "scoring", 30+i*37%171, 3*time.Second, true)
		}
		s.report(t)
		is.Equal(s.served["callers"], 60)
		is.True(s.inTime["callers"] >= 57)
		is.Equal(s.served["scoring"], 200)
		is.True(s.last <= 3500*time.Millisecond) // 200 calls of 115 ms are 1.3 s of 18 slots
	})
}

// TestSlowTargetGetsOnlyWhatItCanDoInTime guards against requests that wait long at a target that is six times slower for 5 s, whether it
// tells so or not, and against the loss of that target when it is fast again.
func TestSlowTargetGetsOnlyWhatItCanDoInTime(t *testing.T) {
	for _, told := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(3, 3)
			s.targets.untold = !told
			for i := range 5760 { // 480 a second for 12 s, where the two fast targets can do 520
				s.call(time.Duration(i)*time.Second/480, "callers", 21+i%5, time.Second, false)
			}
			slow := s.targets.by["1"]
			setPercent := func(p int) int {
				s.targets.mu.Lock()
				defer s.targets.mu.Unlock()
				slow.percent = p
				return slow.runs
			}
			time.Sleep(time.Second)
			setPercent(600)
			time.Sleep(5 * time.Second)
			before := setPercent(100)
			s.report(t)
			is.True(s.inTime["callers"] >= 5700) // 99 %
			is.True(s.quick["callers"] >= 5472)  // 95 %
			is.True(slow.runs-before >= 500)     // of 2,880 requests after the slow time
		})
	}
}

// TestRequestsAtAStuckTargetAreServedElsewhere guards against requests that end unanswered at a target that became fifty times slower without
// telling: when their copies are due, the other targets may have no slot free for a moment.
func TestRequestsAtAStuckTargetAreServedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(3, 3)
		s.targets.untold = true
		s.targets.by["1"].percent = 5000
		for i := range 2000 { // 400 a second, where the two others can do 520
			s.call(time.Duration(i)*time.Second/400, "callers", 21+i%5, 800*time.Millisecond, false)
		}
		s.report(t)
		is.Equal(s.served["callers"], 2000)
		is.True(s.inTime["callers"] >= 1960) // 98 %
	})
}

// TestHerdOfReturningCallersIsServed guards against a herd that is refused with the same Retry-After, comes back at once and fills the
// targets' queues again and again.
func TestHerdOfReturningCallersIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(9, 3)
		for i := range 600 { // 0.8 s of the pool's work, at once
			s.call(time.Duration(i)*50*time.Microsecond, "herd", 21+i%5, 1200*time.Millisecond, false)
		}
		for i := range 100 {
			s.call(100*time.Millisecond+time.Duration(i)*10*time.Millisecond, "later", 21+i%5, 1200*time.Millisecond, false)
		}
		s.report(t)
		is.True(s.served["herd"] >= 580)
		is.True(s.served["later"] >= 90)
	})
}

// TestLargeOrganisationLeavesOthersTheirShare guards against an organisation that asks for ten times as much as the others and takes their
// places, and against one that gets less than a quarter of its share of all requests.
func TestLargeOrganisationLeavesOthersTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSimulation(3, 3)
		for i := range 4800 { // 1,200 a second for 4 s, where the targets can do 780
			name := "large"
			if i%12 >= 10 {
				name = []string{"small-1", "small-2"}[i%2]
			}
			s.call(time.Duration(i)*time.Second/1200, name, 21+i%5, 800*time.Millisecond, false)
		}
		s.report(t)
		total := 0
		for _, n := range s.served {
			total += n
		}
		for name, n := range s.served {
			is.True(4*n*4800 >= s.asked[name]*total) // a quarter of its share of all requests
			if name != "large" {
				is.True(n >= 360) // of 400: a small organisation asks for less than its share of the places
			}
		}
		is.True(total >= 2700) // what the targets can do in 4 s is 3,130
	})
}
