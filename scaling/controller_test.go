package scaling

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
)

const (
	slots = 6
	tick  = 100 * time.Millisecond
)

var (
	start  = time.Unix(1_800_000_000, 0)
	limits = &fleet.Scaling{
		MinTargets: 1, MaxTargets: 22, BootTime: 4 * time.Second, SpotPrice: 0.18,
		ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1, "d": 1.1},
	}
)

// item is an open item of the replayed load.
type item struct {
	left time.Duration
	due  time.Time
}

// world replays a load on targets that the platform starts and stops as ordered.
type world struct {
	t          *testing.T
	c          *Controller
	now        time.Time
	targets    map[Subject]int // that serve
	booting    []boot
	items      []*item
	waiting    int
	trainers   int // each submits a step of 150 items each 4 s
	steps      int // items in a step
	lost       map[string]bool
	noneIn     map[string]bool
	down       bool
	viewAge    time.Duration
	late, done int
	// sent are all orders sent, calls those that were refused, too.
	sent  []sentOrder
	calls int
	last  Decision
	rand  *rand.Rand
}

type boot struct {
	at time.Time
	s  Subject
}

type sentOrder struct {
	at     time.Time
	before int
	Order
}

func newWorld(t *testing.T, perZone int) *world {
	w := &world{
		t: t, c: NewController(), now: start, targets: map[Subject]int{}, steps: 150, lost: map[string]bool{}, noneIn: map[string]bool{},
		rand: rand.New(rand.NewPCG(1, 2)),
	}
	for zone := range limits.ZonePrices {
		w.targets[Subject{zone, false}] = perZone
	}
	return w
}

// run replays the given time.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		since := w.now.Sub(start)
		for n := range w.trainers {
			if (since+time.Duration(n)*time.Second)%(4*time.Second) == 0 {
				w.submit()
			}
		}
		w.booting = slices.DeleteFunc(w.booting, func(b boot) bool {
			if w.now.Before(b.at) {
				return false
			}
			w.targets[b.s]++
			return true
		})
		w.work()
		if since%interval == 0 {
			w.decide()
		}
	}
}

func (w *world) submit() {
	for range w.steps {
		run := 300*time.Millisecond + time.Duration(w.rand.ExpFloat64()*float64(1200*time.Millisecond))
		w.items = append(w.items, &item{min(run, 6*time.Second), w.now.Add(7500 * time.Millisecond)})
	}
}

// work runs the open items on all slots, the most urgent first.
func (w *world) work() {
	n := 0
	for s, count := range w.targets {
		if !w.lost[s.Zone] {
			n += count * slots
		}
	}
	urgent := func(i *item) int64 { return i.due.Add(-i.left).UnixNano() }
	slices.SortFunc(w.items, func(a, b *item) int { return int(urgent(a) - urgent(b)) })
	w.waiting = max(0, len(w.items)-n)
	for _, it := range w.items[:min(n, len(w.items))] {
		it.left -= tick
	}
	w.items = slices.DeleteFunc(w.items, func(i *item) bool {
		if i.left > 0 {
			return false
		}
		w.done++
		if w.now.After(i.due) {
			w.late++
		}
		return true
	})
}

func (w *world) decide() {
	o := Observation{Now: w.now, Counts: map[Subject]int{}, Slots: slots, ViewAge: w.viewAge}
	for s, n := range w.targets {
		if !w.lost[s.Zone] {
			o.Counts[s] = n
		}
	}
	o.Load.Waiting = w.waiting
	for _, it := range w.items {
		o.Load.Open = append(o.Load.Open, Work{it.left, it.due.Sub(w.now)})
	}
	w.last = w.c.Decide(o, limits)
	for _, order := range w.last.Orders {
		w.calls++
		switch {
		case w.down:
			w.c.Sent(w.now, order, Unknown)
		case w.noneIn[order.Zone]:
			w.c.Sent(w.now, order, NoneAvailable)
		default:
			w.c.Sent(w.now, order, Accepted)
			w.apply(order)
		}
	}
}

// apply makes the platform start and stop targets.
func (w *world) apply(o Order) {
	have := w.targets[o.Subject]
	for _, b := range w.booting {
		if b.s == o.Subject {
			have++
		}
	}
	w.sent = append(w.sent, sentOrder{w.now, have, o})
	for ; have < o.Count; have++ {
		w.booting = append(w.booting, boot{w.now.Add(limits.BootTime), o.Subject})
	}
	if have > o.Count {
		w.targets[o.Subject] -= have - o.Count
	}
	spot, all := 0, 0
	for s, n := range w.last.Wanted {
		if s.Zone == o.Zone {
			all += n
			if s.Spot {
				spot += n
			}
		}
	}
	if all > limits.MaxTargets || all < limits.MinTargets {
		w.t.Fatalf("zone %s: %d targets wanted", o.Zone, all)
	}
}

// total returns the number of serving targets of a kind.
func (w *world) total(spot bool) int {
	n := 0
	for s, count := range w.targets {
		if s.Spot == spot && !w.lost[s.Zone] {
			n += count
		}
	}
	return n
}

func (w *world) all() int { return w.total(false) + w.total(true) }

// changes returns the number of orders since a time that changed a count.
func (w *world) changes(since time.Time) int {
	n := 0
	for _, s := range w.sent {
		if !s.at.Before(since) && s.before != s.Count {
			n++
		}
	}
	return n
}

// removals returns the number of targets that were removed.
func (w *world) removals() int {
	n := 0
	for _, s := range w.sent {
		n += max(0, s.before-s.Count)
	}
	return n
}

// TestRampOfLoadIsFollowed guards against targets that come too late: the load grows fivefold, and few items may be late.
func TestRampOfLoadIsFollowed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4) // 96 slots
	w.trainers = 1
	w.run(20 * time.Second)
	is.Equal(w.late, 0)
	before := w.all()
	for w.trainers = 2; w.trainers <= 5; w.trainers++ {
		w.run(20 * time.Second)
	}
	w.trainers = 5
	is.True(w.all() > before)
	is.Equal(w.removals(), 0)
	late := w.late
	w.run(20 * time.Second)
	t.Logf("%d targets, of them %d spot; %d of %d items late", w.all(), w.total(true), w.late, w.done)
	is.Equal(w.late, late) // the load that lasts is carried
	is.True(float64(late) < 0.01*float64(w.done))
	// Ordinary targets alone carry the load.
	is.True(w.total(false)*slots >= w.last.PeakSlots)
	for zone := range limits.ZonePrices {
		is.True(w.targets[Subject{zone, true}] <= w.targets[Subject{zone, false}])
		is.True(w.targets[Subject{zone, false}]+w.targets[Subject{zone, true}] <= w.all()*2/5)
	}
}

// TestBurstIsServedInTime guards against waiting for an average to rise: one submission of five times the usual size.
func TestBurstIsServedInTime(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.trainers = 1
	w.run(21 * time.Second)
	at := w.now
	w.steps = 450
	w.submit()
	w.steps = 150
	w.run(time.Second)
	is.True(w.changes(at) > 0) // ordered within one decision
	w.run(10 * time.Second)
	t.Logf("%d of %d items late", w.late, w.done)
	is.True(w.late < 60)
}

// TestQuietPoolShrinksSlowly guards against removals before the surplus lasted, in large steps, or below the minimum.
func TestQuietPoolShrinksSlowly(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 11)
	w.trainers = 4
	w.run(30 * time.Second)
	w.trainers = 0
	w.run(peakWindow)
	is.Equal(w.removals(), 0) // the last peak still holds
	w.run(2 * time.Minute)
	is.True(w.removals() > 0)
	var last time.Time
	for _, s := range w.sent {
		is.True(s.before-s.Count <= 2)
		if s.Count < s.before && s.at != last {
			is.True(s.at.Sub(last) >= stepPause)
			last = s.at
		}
	}
	w.run(20 * time.Minute)
	is.Equal(w.all(), 4) // the minimum of each zone
}

// TestSpotTargetsOfAZoneAreReplaced guards against counting on targets that were reclaimed.
func TestSpotTargetsOfAZoneAreReplaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 6)
	w.trainers = 4
	w.run(40 * time.Second)
	before, late := w.all(), w.late
	var zone string
	for s, n := range w.targets {
		if s.Spot && n > w.targets[Subject{zone, true}] {
			zone = s.Zone
		}
	}
	lost := w.targets[Subject{zone, true}]
	is.True(lost >= 2)
	w.targets[Subject{zone, true}], w.noneIn[zone] = 0, true
	w.run(30 * time.Second)
	t.Logf("%d of %d targets reclaimed, then %d", lost, before, w.all())
	is.Equal(w.late, late)
	is.True(float64(w.all()) >= scaleUpBelow*float64(w.last.Total))
}

// TestSpotTargetsNeverOutnumberOrdinaryOnes guards against a zone that is nearly empty after a reclaim: the one with the fewest targets comes
// first.
func TestSpotTargetsNeverOutnumberOrdinaryOnes(t *testing.T) {
	is := is.New(t)
	c := NewController()
	o := Observation{Now: start, Slots: slots, Load: Load{ArrivingSlots: 100}, Counts: map[Subject]int{
		{"a", false}: 8, {"b", false}: 8, {"c", false}: 8, {"d", false}: 1,
	}}
	c.Decide(o, limits)
	o.Now = start.Add(settleTime(limits))
	d := c.Decide(o, limits)
	spot := 0
	for zone := range limits.ZonePrices {
		is.Equal(d.Wanted[Subject{zone, false}], o.Counts[Subject{zone, false}]) // they carry the load
		spot += d.Wanted[Subject{zone, true}]
	}
	is.True(spot >= 4)
	is.Equal(d.Wanted[Subject{"d", true}], 1)
}

// TestLostZoneIsReplacedInOthers guards against orders into a zone that is gone, and against a count that would remove its targets when
// it comes back.
func TestLostZoneIsReplacedInOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 8)
	w.trainers = 2
	w.run(40 * time.Second)
	late, at := w.late, w.now
	w.lost["b"] = true
	w.run(lossDelay - interval)
	is.Equal(w.changes(at), 0) // a short cut changes nothing
	w.run(15 * time.Second)
	is.True(w.changes(at) > 0)
	is.Equal(w.late, late)
	for _, s := range w.sent {
		is.True(s.Zone != "b" || s.at.Before(at) || s.before == s.Count)
	}
	is.True(float64(w.all()) >= scaleUpBelow*float64(w.last.Total))
	delete(w.lost, "b")
	w.run(50 * time.Second)
	is.Equal(w.removals(), 0)
}

// TestOutageOfTheAPIIsWaitedOut guards against many calls to an API that is down, and against orders that are forgotten.
func TestOutageOfTheAPIIsWaitedOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.down, w.trainers = true, 4
	w.run(30 * time.Second)
	is.True(w.calls > 0 && w.calls <= 8*6) // a few waves of at most eight orders
	is.Equal(w.all(), 16)
	w.down = false
	w.run(callPauseMax + limits.BootTime + time.Second)
	is.True(w.all() > 16)
}

// TestZoneWithoutTargetsIsLeftForOthers guards against insisting on a zone that has no targets.
func TestZoneWithoutTargetsIsLeftForOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.noneIn["a"], w.trainers = true, 2
	w.run(30 * time.Second)
	refused := w.calls - len(w.sent)
	is.True(refused > 0 && refused <= 6)
	is.Equal(w.targets[Subject{"a", false}], 4)
	is.True(float64(w.all()) >= scaleUpBelow*float64(w.last.Total))
}

// TestNothingChangesOnAStaleView guards against decisions on registrations that lapsed in an outage of the store.
func TestNothingChangesOnAStaleView(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.run(20 * time.Second)
	calls := w.calls
	w.trainers, w.viewAge, w.lost["c"] = 4, maxViewAge+1, true
	w.run(10 * time.Second)
	is.Equal(w.calls, calls)
	is.True(w.last.Held)
	w.viewAge = 0
	delete(w.lost, "c")
	w.run(staleHold - interval)
	is.Equal(w.calls, calls)
	w.run(2 * time.Second)
	is.True(w.calls > calls)
}

// TestOscillatingLoadCausesFewChanges guards against orders that follow each wave of the load.
func TestOscillatingLoadCausesFewChanges(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 8)
	for range 15 {
		w.trainers = 4
		w.run(20 * time.Second)
		w.trainers = 1
		w.run(20 * time.Second)
	}
	later := w.changes(start.Add(40 * time.Second))
	t.Logf("%d orders in the first period and %d in 14 others, %d targets removed; %d of %d items late", len(w.sent)-later, later, w.removals(), w.late, w.done)
	is.True(later <= 8) // an order for each zone and kind
	is.True(w.removals() <= 4)
	is.Equal(w.late, 0)
}

// TestSuccessorStartsFromWhatItObserves guards against orders of a new holder that undo those of its predecessor, whose targets boot.
func TestSuccessorStartsFromWhatItObserves(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.trainers = 4
	w.run(settleTime(limits) + time.Second)
	is.True(len(w.booting) > 0)
	w.c = NewController()
	at := w.now
	w.run(settleTime(limits))
	is.Equal(w.changes(at), 0)
	w.run(30 * time.Second)
	is.Equal(w.removals(), 0)
}

// TestOrderIsRepeatedOnlyAfterTheBootTime guards against a stream of equal orders for a target that does not come.
func TestOrderIsRepeatedOnlyAfterTheBootTime(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 11)
	w.run(10 * time.Second)
	w.targets[Subject{"a", false}]-- // for good
	w.run(30 * time.Second)
	for i, s := range w.sent {
		is.Equal(s.Count, 11)
		if i > 0 {
			is.True(s.at.Sub(w.sent[i-1].at) >= limits.BootTime)
		}
	}
	is.Equal(len(w.sent), 1)
}

func TestRequiredSlots(t *testing.T) {
	is := is.New(t)
	work := func(n int, left, due time.Duration) []Work { return slices.Repeat([]Work{{left, due}}, n) }
	is.Equal(requiredSlots(nil, 100), 0)
	is.Equal(requiredSlots(work(10, time.Second, 13500*time.Millisecond), 100), 1)
	is.Equal(requiredSlots(work(10, 4*time.Second, 7500*time.Millisecond), 100), 10) // none can wait for another
	is.Equal(requiredSlots(work(10, 4*time.Second, 7500*time.Millisecond), 7), 7)
	is.Equal(requiredSlots(work(9, time.Second, -time.Minute), 100), 5) // overdue ones still have to end
}
