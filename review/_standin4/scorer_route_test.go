package standin4

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// scorerRoute has a quarter of the reward calls get one answer of 500. Then their servers are full for four seconds. Meanwhile the operator
// removes the route of the reward calls, and adds it again three seconds later.
func scorerRoute(w *world, trouble bool) (string, error) {
	const (
		id          = "7c41e09b52d6a3f8"
		items       = 32
		failing     = 4 // one reward call in four
		full        = 4 * time.Second
		without     = 3 * time.Second
		maxAttempts = 4 // of the route of the reward calls; that of the batch has 3
	)
	for i := range 3 {
		if _, err := w.startEngine(fmt.Sprintf("i-e%d", i), engineName, zones[i%len(zones)], 20*time.Millisecond, 25); err != nil {
			return "", err
		}
	}
	var mu sync.Mutex
	called := map[string]int{}
	var fullUntil time.Time
	decide := func(call string) verdict {
		mu.Lock()
		defer mu.Unlock()
		called[call]++
		var i int
		_, _ = fmt.Sscanf(call[12:], "%x", &i)
		switch {
		case called[call] == 1 && i%failing == 0:
			return verdict{http.StatusInternalServerError, 25 * time.Millisecond}
		case time.Now().Before(fullUntil) || fullUntil.IsZero():
			return verdict{http.StatusServiceUnavailable, 0}
		}
		return verdict{http.StatusOK, 50 * time.Millisecond}
	}
	var desks []*desk
	for _, zone := range zones {
		d, err := w.startDesk("i-desk-"+zone, zone, decide)
		if err != nil {
			return "", err
		}
		desks = append(desks, d)
	}
	services := []string{deskName, engineName}
	w.configure(services, batchesTo(engineName), scores)
	if err := w.startNodes(4); err != nil {
		return "", err
	}

	submitted := time.Now()
	if err := w.submit(w.nodes[0], id, 1, 1, items); err != nil {
		return "", err
	}
	if !within(10*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return len(called) == items }) {
		return "", fmt.Errorf("%w: not all texts were scored", errUnplayed)
	}
	mu.Lock()
	fullUntil = time.Now().Add(full)
	mu.Unlock()
	w.note("servers: a reward call in %d has got one answer of 500; the servers are full", failing)
	if trouble {
		w.configure(services, batchesTo(engineName))
		time.Sleep(without)
		w.configure(services, batchesTo(engineName), scores)
	}
	listed := w.read(w.nodes[1], id, items, time.Until(submitted.Add(35*time.Second)))
	terminated := 0
	for i := range items {
		failures := 0
		for _, d := range desks {
			failures += d.answers(scorerID(id, i), http.StatusInternalServerError)
		}
		if r := listed[itemID(id, i)]; r.State == "terminated" && failures < maxAttempts {
			terminated++
			w.note("judge: %s is terminated, its reward call has got %d answers of 500, MaxAttempts is %d, RetentionS is 40", r.Id, failures, maxAttempts)
		}
	}
	switch {
	case terminated > 0:
		return fmt.Sprintf("MIXED: %d of %d items are terminated although their reward calls got fewer answers of 500 than MaxAttempts", terminated, items), nil
	case len(listed) < items:
		return "", fmt.Errorf("%w: %d of %d items are listed", errUnplayed, len(listed), items)
	}
	return "", nil
}
