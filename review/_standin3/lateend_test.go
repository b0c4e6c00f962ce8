package standin3

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["lateend"] = lateEnd }

// The bounds of the installation that the case needs.
const (
	stableTime  = 3 * time.Second // StableMs
	ackTime     = 4 * time.Second // AckMs
	cancelTime  = 3 * time.Second // CancelMs
	lostTime    = 4500 * time.Millisecond
	lostShare   = 0.35
	maxLateTime = 6 * time.Second
)

// lateEnd loses the answers of the store to a trainer's batch submission: the writes are done seconds later. The trainer asks for the end of
// the batch, which gets no confirmation.
func lateEnd(p *play) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	st, err := newStore("127.0.61.200", 12)
	if err != nil {
		return err
	}
	p.store = st
	st.put("keyed.op", "config", configuration(7))
	var mu sync.Mutex
	var arrivals []time.Time
	for i := range 2 {
		x, err := newSampler(ctx, st, p.log, "127.0.61.210", fmt.Sprintf("i-e%d", i), engine, "dixie-east-a", 8, model)
		if err != nil {
			return err
		}
		x.events, x.eventInterval = 170, 38*time.Millisecond
		x.serve = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			p.log.printf("%s begins to run item %s", x.id, r.Header.Get("Request-Id"))
			return false
		}
		if _, err = newSampler(ctx, st, p.log, "127.0.61.211", fmt.Sprintf("i-d%d", i), desk, "dixie-east-a", 6); err != nil {
			return err
		}
	}
	for n := 1; n <= 3; n++ {
		if _, err := p.addVM(n, "dixie-east-a", true); err != nil {
			return err
		}
	}
	for _, v := range p.vms {
		if err := v.awaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	const id = "7c41e09b52d6a3f8"
	begun := time.Now()
	var lastDone time.Time
	if p.trouble {
		st.mu.Lock()
		st.lose = func(topic string, records [][]byte) (time.Duration, bool) {
			if topic != "batches" || !strings.Contains(string(records[0]), id) || time.Since(begun) > lostTime {
				return 0, false
			}
			late := maxLateTime - 100*time.Millisecond
			lastDone = time.Now().Add(late)
			p.log.printf("the store loses its answer to an append to %s, and does it %s later", topic, late)
			return late, true
		}
		st.mu.Unlock()
	}
	body, _ := submission("a1", 64, 600)
	accepted := false
	for attempt := range 2 { // the client's retries: 1
		v := p.vms[attempt]
		a := call(ctx, v, http.MethodPost, "/note/7c41e0", id, body, 4*time.Second)
		p.log.printf("batch %s to %s: status %d, error %v", id, v.name, a.status, a.err)
		if accepted = a.status == http.StatusAccepted; accepted {
			break
		}
	}
	if !p.trouble {
		time.Sleep(4 * time.Second)
	}
	var endAsked, confirmed time.Time
	for n := range 6 {
		v := p.vms[n%len(p.vms)]
		asked := time.Now()
		a := call(ctx, v, http.MethodDelete, "/v1/lots/"+id, "", nil, 3*time.Second)
		p.log.printf("end of batch %s to %s: status %d, error %v", id, v.name, a.status, a.err)
		if endAsked.IsZero() {
			endAsked = asked
		}
		if a.status == http.StatusOK {
			confirmed = time.Now()
		}
		if a.status == http.StatusOK || a.status == http.StatusNotFound {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	// Without a confirmation, the end counts as acknowledged after AckMs of steady state, which begins StableMs after the last write that was
	// late.
	if confirmed.IsZero() {
		steady := endAsked
		if lastDone.Add(stableTime).After(steady) {
			steady = lastDone.Add(stableTime)
		}
		confirmed = steady.Add(ackTime)
	}
	p.log.printf("the end counts as acknowledged at %.3f s", confirmed.Sub(p.log.begun).Seconds())
	time.Sleep(time.Until(confirmed.Add(cancelTime + 12*time.Second)))
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range arrivals {
		if at.After(confirmed.Add(cancelTime)) {
			late++
		}
	}
	st.mu.Lock()
	p.log.printf("the store lost %d of %d answers to writes", st.lost, st.written)
	if st.written > 0 && float64(st.lost) > lostShare*float64(st.written) {
		st.mu.Unlock()
		return fmt.Errorf("more answers were lost than the pages name")
	}
	st.mu.Unlock()
	p.log.printf("%d runs of items began, %d of them over CancelMs after the acknowledgement; accepted %t", len(arrivals), late, accepted)
	if late > 0 {
		p.breaks("UNASKED: %d items reached samplers over %s after the end of their batch counts as acknowledged", late, cancelTime)
	}
	return nil
}
