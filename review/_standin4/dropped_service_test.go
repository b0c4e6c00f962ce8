package standin4

import (
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/batch"
)

// droppedService has a step accepted on a service. The operator moves the route to another service, and leaves out the first one, which no
// route names any more. Then all processes are killed at once and started again.
func droppedService(w *world, trouble bool) (string, error) {
	const (
		first, second = "7c41e09b52d6a3f8", "91c4e09b52d6a3f9"
		items         = 96
		events        = 25
		budget        = 12 * time.Second // of the trainer for a step
		stable        = 3 * time.Second  // StableMs
		retention     = 40 * time.Second // RetentionS
	)
	if batch.PartitionOf(engineName, parts) == batch.PartitionOf(secondName, parts) {
		return "", fmt.Errorf("%w: both services share a partition", errUnplayed)
	}
	for i := range 3 {
		for _, service := range []string{engineName, secondName} {
			if _, err := w.startEngine(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], 40*time.Millisecond, events); err != nil {
				return "", err
			}
		}
	}
	if err := w.startScorers(); err != nil {
		return "", err
	}
	w.configure([]string{deskName, engineName, secondName}, batchesTo(engineName), scores)
	if err := w.startNodes(4); err != nil {
		return "", err
	}

	submitted := time.Now()
	if err := w.submit(w.nodes[0], first, 1, 1, items); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	w.configure([]string{deskName, secondName}, batchesTo(secondName), scores)
	if trouble {
		for _, n := range w.nodes {
			n.kill()
			w.note("%s: killed", n.name)
		}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			if err := n.launch(); err != nil {
				return "", err
			}
		}
		if err := w.awaitReady(); err != nil {
			return "", err
		}
	}
	steady := time.Now().Add(stable)
	time.Sleep(time.Until(steady))
	if err := w.submit(w.nodes[1], second, 2, 1, items); err != nil {
		return "", err
	}
	listed := w.read(w.nodes[1], second, items, budget)
	w.note("trainer: %d of %d items of step 2 are listed", len(listed), items)
	if len(listed) < items {
		return "", fmt.Errorf("%w: step 2 was not served", errUnplayed)
	}
	listed = w.read(w.nodes[2], first, items, time.Until(submitted.Add(budget)))
	w.note("trainer: %d of %d items of step 1 are listed %.1f s after it was submitted", len(listed), items, time.Since(submitted).Seconds())
	if len(listed) == items {
		return "", nil
	}
	begun, waiting := stalled(first, items, events, steady)
	if begun == 0 || waiting == 0 {
		return "", fmt.Errorf("%w: %d of %d results are listed, %d items have begun", errUnplayed, len(listed), items, begun)
	}
	listed = w.read(w.nodes[3], first, items, time.Until(submitted.Add(retention)))
	return fmt.Sprintf("LOST: step 1 ran out of time; %d of its items had begun, and %d unfinished ones had been at no server for %.0f s of steady state or more. After %.0f s, %d of %d are listed",
		begun, waiting, idleLimit.Seconds(), time.Since(submitted).Seconds(), len(listed), items), nil
}
