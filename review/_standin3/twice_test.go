package standin3

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["twice"] = acceptedTwice }

const settleTime = time.Second // SettleMs

// otherEngine is a second pool of model samplers.
const otherEngine = "headline-models"

// acceptedTwice lets a trainer submit a batch, and submit it again at a machine that was restarted after the operator had moved the route to
// another service. The store loses its answers to the first submission, and does the writes seconds later.
func acceptedTwice(p *play) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	st, err := newStore("127.0.61.200", 12)
	if err != nil {
		return err
	}
	p.store = st
	config := func(version int, service string) map[string]any {
		c := configuration(version)
		c["Routes"].([]map[string]any)[2]["Service"] = service
		services := c["Services"].([]map[string]any)
		other := map[string]any{}
		for k, v := range services[0] {
			other[k] = v
		}
		other["Name"] = otherEngine
		c["Services"] = append(services, other)
		return c
	}
	st.put("keyed.op", "config", config(7, engine))
	var mu sync.Mutex
	type run struct {
		item, sampler string
		at            time.Time
	}
	var runs []run
	for i := range 6 {
		service := engine
		if i >= 3 {
			service = otherEngine
		}
		x, err := newSampler(ctx, st, p.log, "127.0.61.210", fmt.Sprintf("i-e%d", i), service, "dixie-east-a", 4, model)
		if err != nil {
			return err
		}
		x.events, x.eventInterval = 60, 38*time.Millisecond
		x.serve = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
			item := r.Header.Get("Request-Id")
			mu.Lock()
			runs = append(runs, run{item, x.id, time.Now()})
			mu.Unlock()
			p.log.printf("%s begins to run item %s", x.id, item)
			return false
		}
	}
	for i := range 2 {
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
	const id, items = "7c41e09b52d6a3f8", 64
	begun := time.Now()
	disturbedUntil := begun
	if p.trouble {
		st.mu.Lock()
		st.lose = func(topic string, records [][]byte) (time.Duration, bool) {
			if topic != "batches" || !strings.Contains(string(records[0]), id) || time.Since(begun) > 2500*time.Millisecond {
				return 0, false
			}
			late := maxLateTime - 100*time.Millisecond
			disturbedUntil = time.Now().Add(late)
			p.log.printf("the store loses its answer to an append to %s, and does it %s later", topic, late)
			return late, true
		}
		st.mu.Unlock()
	}
	// A planned restart of one machine.
	restarted := p.vms[2]
	restarted.signal(syscall.SIGTERM)
	p.log.printf("%s gets SIGTERM", restarted.name)
	body, _ := submission("a1", items, 600)
	first := call(ctx, p.vms[0], http.MethodPost, "/note/7c41e0", id, body, 4*time.Second)
	p.log.printf("batch %s to %s: status %d, error %v", id, p.vms[0].name, first.status, first.err)
	st.put("keyed.op", "config", config(9, otherEngine))
	p.log.printf("the operator moves the route to %s", otherEngine)
	<-restarted.done
	p.log.printf("%s has ended", restarted.name)
	text := strings.Replace(readFile(restarted.settings), "Bootstrap = true", "Bootstrap = false", 1)
	if err := writeFile(restarted.settings, text); err != nil {
		return err
	}
	if err := restarted.start(); err != nil {
		return err
	}
	if err := restarted.awaitReady(ctx); err != nil {
		return err
	}
	accepted := false
	for attempt := range 3 {
		a := call(ctx, restarted, http.MethodPost, "/note/7c41e0", id, body, 4*time.Second)
		p.log.printf("batch %s to %s: status %d, error %v, %.1f s after its first attempt", id, restarted.name, a.status, a.err, time.Since(begun).Seconds())
		if accepted = a.status == http.StatusAccepted; accepted || attempt == 2 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !accepted {
		return fmt.Errorf("the batch was not accepted")
	}
	// Results are read at all machines for a while.
	type position struct {
		item string
		read time.Time
	}
	positions := map[int]position{}
	for n := 0; n < 40 && len(positions) < items && len(p.broken) == 0; n++ {
		v := p.vms[n%len(p.vms)]
		began := time.Now()
		a := call(ctx, v, http.MethodGet, "/v1/lots/"+id+"?After=0", "", nil, 3*time.Second, "Wait-Ms", "300")
		inTouch := began.After(disturbedUntil.Add(stableTime))
		var pg page
		if a.status != http.StatusOK || json.Unmarshal(a.body, &pg) != nil {
			p.log.printf("results at %s: status %d, error %v", v.name, a.status, a.err)
			if inTouch && a.status == http.StatusNotFound {
				p.breaks("LOST: %s answers 404 for batch %s, which was accepted", v.name, id)
			}
			time.Sleep(300 * time.Millisecond)
			continue
		}
		p.log.printf("%s lists %d of %d results, in touch %t", v.name, len(pg.Results), pg.Total, inTouch)
		for i, r := range pg.Results {
			if was, ok := positions[i]; ok && was.item != r.Id {
				p.breaks("TWICE: position %d of batch %s holds %s at %s, and held %s before", i, id, r.Id, v.name, was.item)
				break
			}
			if _, ok := positions[i]; !ok {
				positions[i] = position{r.Id, time.Now()}
			}
		}
		for i, was := range positions {
			if i >= len(pg.Results) && inTouch && began.Sub(was.read) > settleTime {
				p.breaks("LOST: %s has nothing at position %d of batch %s, which was read %.1f s before", v.name, i, id, began.Sub(was.read).Seconds())
				break
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	end := call(ctx, restarted, http.MethodDelete, "/v1/lots/"+id, "", nil, 3*time.Second)
	ended := time.Now()
	p.log.printf("end of batch %s at %s: status %d, error %v", id, restarted.name, end.status, end.err)
	time.Sleep(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	tooLate := 0
	for _, r := range runs {
		if r.at.After(ended.Add(cancelTime)) {
			tooLate++
		}
	}
	p.log.printf("%d runs of %d items, %d of them over CancelMs after the end", len(runs), items, tooLate)
	if tooLate > 0 && end.status == http.StatusOK {
		p.breaks("UNASKED: %d items reached samplers over %s after the acknowledgement of their batch's end", tooLate, cancelTime)
	}
	return nil
}
