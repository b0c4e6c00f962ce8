package standin4

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryMb is the memory of a machine, in megabytes.
const memoryMb = 324

// itemBodies has clients ask for the bodies of items of an open batch, all at once at each machine. Without trouble, they ask one after the
// other. The platform kills a process that exceeds its memory, and starts it again.
func itemBodies(w *world, trouble bool) (string, error) {
	const (
		id        = "7c41e09b52d6a3f8"
		items     = 64
		bodyBytes = 250 << 10
		clients   = 12
		rounds    = 3
		tries     = 3
		pause     = time.Second // after a failure
	)
	for i := range 3 {
		// Long outputs, so that items are open for a while.
		if _, err := w.startEngine(fmt.Sprintf("i-e%d", i), engineName, zones[i%len(zones)], 200*time.Millisecond, 180); err != nil {
			return "", err
		}
	}
	if err := w.startScorers(); err != nil {
		return "", err
	}
	w.configure([]string{deskName, engineName}, batchesTo(engineName), scores)
	if err := w.startNodes(4); err != nil {
		return "", err
	}
	kills := w.watchMemory()
	w.promptBytes = bodyBytes
	if err := w.submit(w.nodes[0], id, 1, 1, items); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var wrong string
	served := 0
	ask := func(n *node, i int) {
		for range tries {
			a := w.call(n, http.MethodGet, "/v1/items/"+id+"?Id="+itemID(id, i), nil, nil)
			w.note("client: body of %s at %s is answered %d, %d bytes", itemID(id, i), n.name, a.status, len(a.body))
			mu.Lock()
			if a.status == http.StatusOK {
				served++
				if !bytes.Equal(a.body, w.prompt(i)) {
					wrong = fmt.Sprintf("MIXED: the body of %s comes with other bytes", itemID(id, i))
				}
			}
			mu.Unlock()
			if a.status == http.StatusOK {
				return
			}
			time.Sleep(pause)
		}
	}
	var machines sync.WaitGroup
	for _, n := range w.nodes {
		machines.Go(func() {
			for round := range rounds {
				var crowd sync.WaitGroup
				for k := range clients {
					i := (round*clients + k) % items
					if !trouble {
						ask(n, i)
						continue
					}
					crowd.Go(func() { ask(n, i) })
				}
				crowd.Wait()
			}
		})
	}
	machines.Wait()
	if wrong != "" {
		return wrong, nil
	}
	often := 0
	for _, n := range w.nodes {
		w.note("platform: %s was killed %d times", n.name, kills(n))
		if kills(n) >= 3 {
			often++
		}
	}
	switch {
	case often >= 2:
		return fmt.Sprintf("Fault: on %d of %d machines the process exceeded its %d MB three times or more", often, len(w.nodes), memoryMb), nil
	case served == 0:
		return "", fmt.Errorf("%w: no body was served", errUnplayed)
	}
	return "", nil
}

// watchMemory kills processes that exceed memoryMb and starts them again. The returned function tells how often.
func (w *world) watchMemory() func(*node) int {
	var mu sync.Mutex
	kills := map[*node]int{}
	for _, n := range w.nodes {
		go func() {
			for ; ; time.Sleep(5 * time.Millisecond) {
				mb := residentMb(n.cmd.Process.Pid)
				if mb <= memoryMb {
					continue
				}
				n.kill()
				w.note("platform: %s has %d MB, exceeds its %d MB and is killed", n.name, mb, memoryMb)
				mu.Lock()
				kills[n]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				if n.launch() != nil {
					return
				}
			}
		}()
	}
	return func(n *node) int {
		mu.Lock()
		defer mu.Unlock()
		return kills[n]
	}
}

// residentMb returns the resident memory of a process in megabytes, or 0 if it has ended.
func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}
