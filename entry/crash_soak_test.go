package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// crashSoakSeedsEnv sets the number of seeds of TestCrashingRequestsUnderFaults.
const crashSoakSeedsEnv = "IBISTRAIL_CRASH_SEEDS"

// Phases of a run: faults strike, then each VM has settleTime to learn of all deaths.
const (
	faultPhase = 5 * time.Second
	checkPhase = time.Second
)

// TestCrashingRequestsUnderFaults sends two requests that crash targets to VMs at random, beside other callers, while the
// store fails, VMs are replaced and targets crash by themselves. Afterwards the VMs may send each of the two
// on maxLateRuns times more, and no other request is refused.
func TestCrashingRequestsUnderFaults(t *testing.T) {
	t.Parallel()
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv(crashSoakSeedsEnv)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runCrashSoak(t, uint64(seed)) })
	}
}

// crashSoak is a deployment whose VMs are replaced while callers use it.
type crashSoak struct {
	*deployment
	mu   sync.Mutex
	live []*vm
	ids  atomic.Int64
	// refusals counts the other callers' requests that were taken for crashing ones.
	refusals, served atomic.Int64
}

func runCrashSoak(t *testing.T, seed uint64) {
	s := &crashSoak{deployment: newDeployment(t, 0, 8, 3)}
	s.live = append(s.live, s.vms...)
	crashOnPoison(s.services)
	for _, x := range s.services {
		x.Set(func(x *errata.Target) { x.RequestDuration = 20 * time.Millisecond })
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 4 {
		callers.Go(func() { s.callOthers(stop, rand.New(rand.NewPCG(seed, uint64(c)))) })
	}
	for c := range 2 {
		callers.Go(func() {
			s.callPoison(stop, fmt.Sprintf("%s %d", poison, c), rand.New(rand.NewPCG(seed, 100+uint64(c))))
		})
	}
	s.injectFaults(rand.New(rand.NewPCG(seed, 1000)), time.Now().Add(faultPhase))
	time.Sleep(settleTime)
	s.replaceVM(0) // a VM that starts now knows too
	time.Sleep(time.Second)
	before, refusedBefore := s.poisonRuns(), s.refusals.Load()
	time.Sleep(checkPhase)
	after, refused := s.poisonRuns(), s.refusals.Load()
	close(stop)
	callers.Wait()
	t.Logf("runs of poison: %v, then %v after all had settled; other requests: %d served, %d held for a moment", before, after, s.served.Load(), refused)
	for body := range after {
		s.is.True(before[body] >= 3)
		s.is.True(after[body]-before[body] <= maxLateRuns)
	}
	s.is.Equal(refused, refusedBefore) // no other request is taken for a crashing one
	s.is.True(s.served.Load() > 0)
}

func (s *crashSoak) randomVM(r *rand.Rand) *vm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[r.IntN(len(s.live))]
}

// send sends a request as a caller that does not mind failures of VMs.
func (s *crashSoak) send(v *vm, body string) response {
	return s.call(v, http.MethodPost, "/desk/x", fmt.Sprintf("r%d", s.ids.Add(1)), body)
}

func (s *crashSoak) callOthers(stop <-chan struct{}, r *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		body := "equal body"
		if r.IntN(2) == 0 {
			body = fmt.Sprintf("body %d", r.Int64())
		}
		for range 2 { // a caller tries twice
			a := s.send(s.randomVM(r), body)
			if strings.Contains(a.body, "crashed while running") {
				s.refusals.Add(1)
			}
			if a.status == http.StatusOK {
				s.served.Add(1)
				break
			}
		}
	}
}

func (s *crashSoak) callPoison(stop <-chan struct{}, body string, r *rand.Rand) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+r.IntN(200)) * time.Millisecond):
		}
		s.send(s.randomVM(r), body)
	}
}

// injectFaults injects one fault after the other until end; those of the store overlap with the rest.
func (s *crashSoak) injectFaults(r *rand.Rand, end time.Time) {
	storeFault := func(set, reset func(*errata.Store), d time.Duration) {
		s.store.Set(set)
		time.AfterFunc(d, func() { s.store.Set(reset) })
	}
	for time.Now().Before(end) {
		d := time.Duration(200+r.IntN(800)) * time.Millisecond
		switch fault := r.IntN(5); fault {
		case 0:
			storeFault(func(x *errata.Store) { x.Down = true }, func(x *errata.Store) { x.Down = false }, d)
		case 1:
			storeFault(func(x *errata.Store) { x.Hang = true }, func(x *errata.Store) { x.Hang = false }, d)
		case 2:
			s.store.Set(func(x *errata.Store) { x.LoseAnswers = 1 + r.IntN(3) })
		case 3:
			s.services[r.IntN(len(s.services))].Crash()
		case 4:
			s.replaceVM(r.IntN(len(s.live)))
		}
		time.Sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
	}
	s.store.Set(func(x *errata.Store) { x.Down, x.Hang, x.LoseAnswers = false, false, 0 })
}

// replaceVM kills a VM and starts another one.
func (s *crashSoak) replaceVM(i int) {
	s.mu.Lock()
	old := s.live[i]
	s.live = append(s.live[:i:i], s.live[i+1:]...)
	s.mu.Unlock()
	s.kill(old)
	started := s.startVMWithin(fmt.Sprintf("vm-%d", len(s.vms)), 15*time.Second) // the store may be out
	s.mu.Lock()
	s.live = append(s.live, started)
	s.mu.Unlock()
}

// poisonRuns returns how often targets have begun to run each of the crashing requests, by body.
func (s *crashSoak) poisonRuns() map[string]int {
	n := map[string]int{}
	for _, r := range poisonRuns(s.services) {
		n[string(r.Body)]++
	}
	return n
}
