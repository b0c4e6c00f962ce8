package standin3

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["items"] = readItems }

// readItems lets clients request bodies of items of an open submission that is within MaxBodyBytes, at a machine that does not run it. The
// platform kills a process that exceeds MemoryMb and starts it again. Without trouble, the clients come one after the other.
func readItems(p *play) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	st, err := newStore("127.0.61.200", 12)
	if err != nil {
		return err
	}
	p.store = st
	st.put("keyed.op", "config", configuration(7))
	for i := range 3 {
		x, err := newSampler(ctx, st, p.log, "127.0.61.210", fmt.Sprintf("i-e%d", i), engine, "dixie-east-a", 8, model)
		if err != nil {
			return err
		}
		x.events, x.eventInterval = 180, 200*time.Millisecond // long outputs, so that items are open for a while
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
	time.Sleep(2 * time.Second)
	kills := p.watchMemory(ctx)
	const id, items, bodyBytes, readers = "7c41e09b52d6a3f8", 64, 250 << 10, 16
	body, ids := submission("a1", items, bodyBytes)
	accepted := false
	for attempt := 0; attempt < 5 && !accepted; attempt++ {
		v := p.vms[attempt%len(p.vms)]
		a := call(ctx, v, http.MethodPost, "/note/7c41e0", id, body, 10*time.Second, "Content-Type", "application/json")
		p.log.printf("%d bytes of batch %s to %s: status %d, error %v", len(body), id, v.name, a.status, a.err)
		accepted = a.status == http.StatusAccepted
		time.Sleep(500 * time.Millisecond)
	}
	if !accepted {
		return fmt.Errorf("the batch was not accepted")
	}
	time.Sleep(2 * time.Second)
	for round := range 4 {
		for _, v := range p.vms {
			var wg sync.WaitGroup
			for n := range readers {
				item := ids[(round*readers+n)%len(ids)]
				read := func() {
					a := call(ctx, v, http.MethodGet, "/v1/items/"+id+"?Id="+item, "", nil, 8*time.Second)
					whole := bytes.Equal(a.body, itemBody(item, bodyBytes))
					p.log.printf("body of %s at %s: status %d, whole %t, error %v", item, v.name, a.status, whole, a.err)
					if a.status == http.StatusOK && a.err == nil && !whole {
						p.breaks("MIXED: the body of %s comes with other bytes", item)
					}
				}
				if !p.trouble {
					read()
					continue
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					read()
				}()
			}
			wg.Wait()
		}
		time.Sleep(time.Second)
	}
	often := 0
	for _, v := range p.vms {
		now, peak := v.residentMb()
		p.log.printf("%s was killed %d times for its memory; now %d MB, peak %d MB", v.name, kills(v), now, peak)
		if kills(v) >= 3 {
			often++
		}
	}
	if often >= 2 {
		p.breaks("Fault: on %d of %d machines processes ended three times or more, as they exceeded %d MB", often, len(p.vms), memoryMb)
	}
	return nil
}

// watchMemory kills processes that exceed memoryMb and starts them again, as the platform does. The returned function tells how often.
func (p *play) watchMemory(ctx context.Context) func(*vm) int {
	var mu sync.Mutex
	kills := map[*vm]int{}
	for _, v := range p.vms {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
				now, peak := v.residentMb()
				if peak <= memoryMb {
					continue
				}
				p.log.printf("%s has %d MB, up to %d MB: it exceeds its %d MB and is killed", v.name, now, peak, memoryMb)
				v.signal(syscall.SIGKILL)
				<-v.done
				mu.Lock()
				kills[v]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				if ctx.Err() != nil || v.start() != nil || v.awaitReady(ctx) != nil {
					return
				}
			}
		}()
	}
	return func(v *vm) int {
		mu.Lock()
		defer mu.Unlock()
		return kills[v]
	}
}
