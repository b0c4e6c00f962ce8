package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["takeover"] = takeover }

// takeover lets trainers submit batches that fit, and kills the process that runs them. The platform kills a process that exceeds MemoryMb.
func takeover(p *play) error {
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
		x.events, x.eventInterval = 180, 200*time.Millisecond
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
	for b := range 4 {
		id := fmt.Sprintf("7c41e09b52d6a3f%d", b)
		body, _ := submission(fmt.Sprintf("a%d", b), 64, 230<<10)
		accepted := false
		for attempt := 0; attempt < 6 && !accepted; attempt++ {
			v := p.vms[(b+attempt)%len(p.vms)]
			a := call(ctx, v, http.MethodPost, "/note/7c41e0", id, body, 10*time.Second, "Content-Type", "application/json")
			p.log.printf("%d bytes of batch %s to %s: status %d, error %v %s", len(body), id, v.name, a.status, a.err, a.body)
			accepted = a.status == http.StatusAccepted
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	for _, v := range p.vms {
		now, peak := v.residentMb()
		p.log.printf("%s now %d MB, peak %d MB", v.name, now, peak)
	}
	for range 3 {
		for _, v := range p.vms {
			v.signal(syscall.SIGKILL)
			<-v.done
			p.log.printf("%s is killed", v.name)
			time.Sleep(500 * time.Millisecond)
			if err := v.start(); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			for _, v := range p.vms {
				now, peak := v.residentMb()
				p.log.printf("%s now %d MB, peak %d MB", v.name, now, peak)
			}
		}
	}
	for _, v := range p.vms {
		p.log.printf("%s was killed %d times for its memory", v.name, kills(v))
	}
	return nil
}
