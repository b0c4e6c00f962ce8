package standin4

import (
	"fmt"
	"strings"
	"time"
)

// lateOrder has one model server of nine leave its first order unanswered and carry it out eleven seconds later. Shortly before that, the
// server crashes and starts again under its Id, with the version that it had and a count of orders that starts anew. The trainer names a
// version each four seconds, and each step accepts the newest version and the one before.
func lateOrder(w *world, trouble bool) (string, error) {
	const (
		late  = 11 * time.Second
		pace  = 4 * time.Second
		items = 96
		last  = 7 // step
		down  = 500 * time.Millisecond
		// ahead is how long before the late order the server crashes.
		ahead   = 1300 * time.Millisecond
		allowed = 30 * time.Second
	)
	var engines []*engine
	for i := range 9 {
		e, err := w.startEngine(fmt.Sprintf("i-e%d", i), engineName, zones[i%len(zones)], 50*time.Millisecond, 60)
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	slow := engines[0]
	if trouble {
		slow.loseOrders, slow.lateBy = 1, late
	}
	if err := w.startScorers(); err != nil {
		return "", err
	}
	w.configure([]string{deskName, engineName}, batchesTo(engineName), scores)
	if err := w.startNodes(4); err != nil {
		return "", err
	}

	batchOf := func(step int) string { return fmt.Sprintf("7c41e09b52d6a3%02x", step) }
	crashed := false
	for step := 2; step <= last; step++ {
		w.store.Put("keyed.op", "version/"+modelName, []byte(fmt.Sprintf(`{"Model":%q,"Version":%d}`, modelName, step)))
		w.note("trainer: version %d is named", step)
		if err := w.submit(w.nodes[step%len(w.nodes)], batchOf(step), step, step-1, items); err != nil {
			return "", err
		}
		for next := time.Now().Add(pace); time.Now().Before(next); time.Sleep(10 * time.Millisecond) {
			slow.mu.Lock()
			lostAt := slow.lostAt
			slow.mu.Unlock()
			if trouble && !crashed && !lostAt.IsZero() && time.Since(lostAt) >= late-ahead {
				crashed = true
				slow.crash(down)
			}
		}
	}
	if trouble && !crashed {
		return "", fmt.Errorf("%w: %s has got no order", errUnplayed, slow.id)
	}
	var broken []string
	for step := 2; step <= last; step++ {
		listed := w.read(w.nodes[1], batchOf(step), items, allowed)
		if len(listed) < items {
			return "", fmt.Errorf("%w: %d of %d results of step %d are listed", errUnplayed, len(listed), items, step)
		}
		for _, r := range listed {
			for _, v := range r.Versions {
				if v >= int64(step-1) {
					continue
				}
				broken = append(broken, fmt.Sprintf("%s of step %d, whose MinVersion is %d, is %s with the versions %v", r.Id, step, step-1, r.State, r.Versions))
				for i, line := range strings.Split(r.Text, "\n") {
					if f := strings.Split(line, "|"); len(f) == 4 && f[2] == fmt.Sprint(v) {
						w.note("judge: event %d of %s was made under version %d", i+1, r.Id, v)
						break
					}
				}
			}
		}
	}
	if len(broken) > 0 {
		return "VERSION: " + strings.Join(broken, "; "), nil
	}
	return "", nil
}
