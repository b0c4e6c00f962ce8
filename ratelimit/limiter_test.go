package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/internal/proptest"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/targetstate"
	"github.com/ibistrail/ibistrail/wire"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// The users' bound: at most ruleFactor times what a limit allows in ruleWindow, and ruleSlack requests more. minUse is the share of
// the limit that must be used while there is demand and nothing fails.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
	minUse     = 0.8
)

// node is a simulated VM.
type node struct {
	fleet.VM
	limiter *Limiter
	up      bool
	// excusedUntil is the end of the time in which the rule does not count the node's requests.
	excusedUntil time.Time
	// share is the node's share of all requests.
	share float64
}

// world simulates VMs that send requests to one limited target in zone a. Calls take no time.
type world struct {
	now       time.Time
	rand      *rand.Rand
	nodes     []*node
	announced []fleet.VM // what the store holds
	views     []view     // announcements that VMs have not read yet
	tasks     []func()
	cutZone   string
	target    *fleet.Instance
	limit     float64
	demand    float64     // requests a second at all nodes
	sent      []time.Time // requests that count
	faultAt   time.Time   // of the last fault
}

// view is a state of the announcements that a node reads at a time.
type view struct {
	at   time.Time
	node *node
	vms  []fleet.VM
}

// readDelay is the longest time until a VM reads an announcement: a read may end late and is followed by a pause.
const readDelay = 4 * time.Second

func newWorld(seed uint64, nodes, zones int, limit, demand float64) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), limit: limit, demand: demand,
		target: &fleet.Instance{Target: config.Target{Name: "t", AvailabilityZone: "a"}, Pool: "p", StartedMs: 1},
	}
	weights := make([]float64, nodes)
	sum := 0.0
	for i := range weights {
		weights[i] = w.rand.ExpFloat64()
		sum += weights[i]
	}
	for i := range nodes {
		az := string(rune('a' + i%zones))
		n := &node{VM: fleet.VM{Name: fmt.Sprintf("vm-%d", i), AvailabilityZone: az, RPCAddress: fmt.Sprintf("addr-%d", i), Small: w.rand.IntN(3) == 0}}
		n.share = weights[i] / sum
		w.nodes = append(w.nodes, n)
		w.announced = append(w.announced, n.VM)
	}
	for _, n := range w.nodes {
		w.start(n)
		n.limiter.joinedAt = w.now.Add(-joinDelay) // these have run for a while
	}
	return w
}

func (w *world) node(address string) *node {
	for _, n := range w.nodes {
		if n.RPCAddress == address {
			return n
		}
	}
	return nil
}

// start starts the process of a node, which reads the announcements at once.
func (w *world) start(n *node) {
	n.up = true
	log, metrics := slog.New(slog.DiscardHandler), process.NewMetrics()
	register := targetstate.NewRegister(log, metrics)
	register.Observe(w.target, w.now, w.now, &targets.Response{RateLimit: &w.limit})
	n.limiter = New(Options{
		Self: n.VM, Register: register, Log: log, Metrics: metrics,
		Now: func() time.Time { return w.now }, Go: func(f func()) { w.tasks = append(w.tasks, f) },
		Call: func(ctx context.Context, address, method string, params, result any) error {
			to := w.node(address)
			if to == nil || !to.up || !n.up || w.cutZone != "" && (to.AvailabilityZone == w.cutZone) != (n.AvailabilityZone == w.cutZone) {
				return errors.New("no answer")
			}
			r, err := to.limiter.Handle(ctx, params.(wire.PermitsParams))
			if result != nil {
				*result.(*wire.PermitsResult) = r
			}
			return err
		},
	})
	if !slices.ContainsFunc(w.announced, func(vm fleet.VM) bool { return vm.Name == n.Name }) {
		w.announced = append(slices.Clone(w.announced), n.VM)
	}
	n.limiter.SetVMs(w.announced)
	w.publish(n)
}

// publish lets the other nodes read the announcements after random delays.
func (w *world) publish(except *node) {
	for _, n := range w.nodes {
		if n != except {
			w.views = append(w.views, view{w.now.Add(time.Duration(w.rand.Int64N(int64(readDelay)))), n, w.announced})
		}
	}
}

// excuse excludes the requests of a node from the rule while it is disturbed.
func (w *world) excuse(n *node, d time.Duration) {
	n.excusedUntil = w.now.Add(d)
	w.faultAt = w.now
}

// kill ends a process without a stop.
func (w *world) kill(n *node) {
	n.up = false
	w.excuse(n, time.Hour)
}

// restart starts a process that has ended.
func (w *world) restart(n *node) {
	w.start(n)
	w.excuse(n, ruleWindow)
}

// stop begins a planned stop. The process goes on for its grace period.
func (w *world) stop(n *node) {
	n.limiter.Stop()
	w.announced = slices.DeleteFunc(slices.Clone(w.announced), func(vm fleet.VM) bool { return vm.Name == n.Name })
	w.publish(nil)
	w.excuse(n, time.Hour)
}

// settle runs the pending tasks and those that they start.
func (w *world) settle() {
	for len(w.tasks) > 0 {
		f := w.tasks[0]
		w.tasks = w.tasks[1:]
		f()
	}
}

// step advances the time by d and sends the requests that arrive meanwhile and are permitted.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	pending := w.views[:0]
	for _, v := range w.views {
		if v.at.After(w.now) {
			pending = append(pending, v)
		} else if v.node.up {
			v.node.limiter.SetVMs(v.vms)
		}
	}
	w.views = pending
	expected := w.demand * d.Seconds()
	arrivals := int(expected)
	if w.rand.Float64() < expected-float64(arrivals) {
		arrivals++
	}
	for range arrivals {
		n := w.busyNode()
		reaches := w.cutZone == "" || (n.AvailabilityZone == w.cutZone) == (w.cutZone == w.target.AvailabilityZone)
		if !n.up || !reaches {
			continue
		}
		background := w.rand.IntN(2) == 0
		ok, _, fetch := n.limiter.tryAcquire(w.target, background, 1, true)
		w.settle()
		if !ok && fetch != nil {
			ok, _, _ = n.limiter.tryAcquire(w.target, background, 1, false)
			w.settle()
		}
		if ok && !w.now.Before(n.excusedUntil) {
			w.sent = append(w.sent, w.now)
		}
	}
	w.settle()
}

// busyNode returns the node at which a request arrives.
func (w *world) busyNode() *node {
	at := w.rand.Float64()
	for _, n := range w.nodes {
		if at -= n.share; at < 0 {
			return n
		}
	}
	return w.nodes[0]
}

// run advances the time by d in small steps.
func (w *world) run(d time.Duration) {
	const tick = 5 * time.Millisecond
	for range d / tick {
		w.step(tick)
	}
}

// checkRule returns the largest number of requests in ruleWindow, and an error if that is too many.
func (w *world) checkRule() error {
	allowed := int(ruleFactor*w.limit*ruleWindow.Seconds()) + ruleSlack
	first := 0
	for i, at := range w.sent {
		for at.Sub(w.sent[first]) > ruleWindow {
			first++
		}
		if n := i - first + 1; n > allowed {
			return fmt.Errorf("%d requests in %s, allowed %d at a limit of %g a second", n, ruleWindow, allowed, w.limit)
		}
	}
	return nil
}

// countSince returns the number of counted requests in the last d.
func (w *world) countSince(d time.Duration) int {
	n := 0
	for _, at := range w.sent {
		if w.now.Sub(at) <= d {
			n++
		}
	}
	return n
}

// TestVMsTogetherKeepALimitThroughFaults sends more than a limit allows from VMs that are killed, restarted, stopped and cut off. The rule
// must hold throughout, and some time after the last fault the limit must be used.
func TestVMsTogetherKeepALimitThroughFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 2, 3, 9, 12, 40, 195}).Draw(t, "nodes")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		limit := rapid.SampledFrom([]float64{0.3, 1, 2.5, 8, 40}).Draw(t, "limit")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), nodes, zones, limit, 3*limit+5)
		w.run(ruleWindow)
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			n := w.nodes[w.rand.IntN(len(w.nodes))]
			switch kind := rapid.SampledFrom([]string{"kill", "roll", "kill coordinator", "roll coordinator", "herd", "cut"}).Draw(t, "kind"); kind {
			case "kill coordinator", "roll coordinator":
				if c := coordinators(w.announced, w.target.Key(), w.target.AvailabilityZone); len(c) > 0 {
					n = w.node(c[0].RPCAddress)
				}
				fallthrough
			case "kill", "roll":
				if !n.up {
					continue
				}
				if kind == "roll" || kind == "roll coordinator" {
					w.stop(n)
					w.run(4 * time.Second)
				}
				w.kill(n)
				w.run(time.Duration(w.rand.IntN(2000)) * time.Millisecond)
				w.restart(n)
			case "herd":
				var killed []*node
				for _, n := range w.nodes {
					if n.up && w.rand.IntN(2) == 0 {
						w.kill(n)
						killed = append(killed, n)
					}
				}
				w.run(time.Second)
				for _, n := range killed {
					w.restart(n)
				}
			case "cut":
				w.cutZone = string(rune('a' + w.rand.IntN(zones)))
				for _, n := range w.nodes {
					if n.AvailabilityZone == w.cutZone {
						w.excuse(n, time.Hour)
					}
				}
				w.run(time.Duration(2+w.rand.IntN(6)) * time.Second)
				for _, n := range w.nodes {
					if n.AvailabilityZone == w.cutZone {
						w.excuse(n, ruleWindow)
					}
				}
				w.cutZone = ""
			}
			w.run(time.Duration(w.rand.IntN(6000)) * time.Millisecond)
		}
		w.run(joinDelay + readDelay + ruleWindow)
		const measured = 60 * time.Second
		w.run(measured)
		if err := w.checkRule(); err != nil {
			t.Fatal(err)
		}
		if n, want := w.countSince(measured), minUse*limit*measured.Seconds(); float64(n) < want {
			t.Fatalf("%d requests in %s without faults, want at least %.0f", n, measured, want)
		}
	})
}

func TestCoordinatorsAreInTheTargetsZone(t *testing.T) {
	is := is.New(t)
	vms := []fleet.VM{
		{Name: "a-small", AvailabilityZone: "a", Small: true}, {Name: "b1", AvailabilityZone: "b"}, {Name: "a1", AvailabilityZone: "a"},
		{Name: "b-small", AvailabilityZone: "b", Small: true}, {Name: "a2", AvailabilityZone: "a"},
	}
	got := coordinators(vms, fleet.Key{ID: "t"}, "a")
	is.Equal(len(got), coordinatorCount)
	is.True(got[0].Name != got[1].Name && (got[0].Name == "a1" || got[0].Name == "a2") && (got[1].Name == "a1" || got[1].Name == "a2"))
	is.Equal(got[2].Name, "a-small")
	slices.Reverse(vms)
	is.Equal(coordinators(vms, fleet.Key{ID: "t"}, "a"), got) // in whatever order the announcements are read
}
