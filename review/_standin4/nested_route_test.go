package standin4

import (
	"fmt"
	"time"
)

// nestedRoute has a step accepted. Then the operator adds a plain route to another service, whose prefix begins the path at which the step was
// submitted. The step's own route stays as it is.
func nestedRoute(w *world, trouble bool) (string, error) {
	const (
		id        = "7c41e09b52d6a3f8"
		items     = 96
		events    = 25
		budget    = 12 * time.Second // of the trainer for a step
		apply     = 2 * time.Second  // ConfigApplyMs
		retention = 38 * time.Second // just under RetentionS
	)
	for i := range 3 {
		if _, err := w.startEngine(fmt.Sprintf("i-e%d", i), engineName, zones[i%len(zones)], 40*time.Millisecond, events); err != nil {
			return "", err
		}
	}
	if err := w.startScorers(); err != nil {
		return "", err
	}
	services := []string{deskName, engineName}
	w.configure(services, batchesTo(engineName), scores)
	if err := w.startNodes(4); err != nil {
		return "", err
	}

	submitted := time.Now()
	if err := w.submitAt(w.nodes[0], batchRoute+"7c/"+id, id, 1, 1, items); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	added := "/pule900/"
	if trouble {
		added = batchRoute + "7c/"
	}
	w.configure(services, batchesTo(engineName), scores,
		fmt.Sprintf(`{"Name":"r-new","Host":%q,"PathPrefix":%q,"Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":2,"Service":%q,"MaxAttempts":4}`, host, added, deskName))
	steady := time.Now().Add(apply)
	listed := w.read(w.nodes[1], id, items, time.Until(submitted.Add(budget)))
	w.note("trainer: %d of %d items are listed %.1f s after the step was submitted", len(listed), items, time.Since(submitted).Seconds())
	if len(listed) == items {
		return "", nil
	}
	begun, waiting := stalled(id, items, events, steady)
	if begun == 0 || waiting == 0 {
		return "", fmt.Errorf("%w: %d of %d results are listed, %d items have begun", errUnplayed, len(listed), items, begun)
	}
	listed = w.read(w.nodes[2], id, items, time.Until(submitted.Add(retention)))
	return fmt.Sprintf("LOST: the step ran out of time; %d of its items had begun, and %d unfinished ones had been at no server for %.0f s of steady state or more. After %.0f s, %d of %d are listed",
		begun, waiting, idleLimit.Seconds(), time.Since(submitted).Seconds(), len(listed), items), nil
}
