package entry_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/fake/errata"
)

// Bounds of what readers may see, and times of a run.
const (
	positionSettleTime = time.Second     // after it, a position that was read is listed at each VM
	cancelTime         = 3 * time.Second // after the confirmation of an end, no item begins
	movedReading       = 5 * time.Second
	movedItems         = 56
	// movedPath is the path that moves to spareService.
	movedPath    = "/notes/moved/"
	spareService = "spare-drafting"
)

// spareServiceRow returns JSON of the spare service in the configuration, with a leading comma.
func spareServiceRow() string {
	return fmt.Sprintf(`,{"Name":%q,"HealthPath":"/healthz","MaxConns":100,"Engine":{"Slots":4,"Stride":10,"Models":[{"Name":%q}]}}`, spareService, model)
}

// batchRouteRow returns JSON of a route of batches in the configuration, with a leading comma.
func batchRouteRow(name, prefix, service string) string {
	return fmt.Sprintf(`,{"Name":%q,"Host":%q,"PathPrefix":%q,"Kind":"rollout","TargetLatencyMs":500,"RunDeadlineMs":7500,"RetentionS":40,"Service":%q,"MaxAttempts":3}`, name, host, prefix, service)
}

// movedRouteRow returns JSON of the route of movedPath to the spare service, with a leading comma.
func movedRouteRow() string { return batchRouteRow("r-moved", movedPath, spareService) }

// movedBatch is a batch on a path whose route moves between two services, and what its readers have seen.
type movedBatch struct {
	*processSoak
	id, body string
	items    []string
	read     []result
	readAt   []time.Time // by position: when it was read first
}

// TestMovedBatchIsAcceptedOnceByProcesses guards against a batch that is accepted a second time, or lost, by a VM that has started after
// the batch's route had moved: it runs ibisentry as six processes.
func TestMovedBatchIsAcceptedOnceByProcesses(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "ibisentry")
	buildIbisentry(t, binary)
	for name, resend := range map[string]func(b *movedBatch){
		"one VM restarts": func(b *movedBatch) {
			b.restart(b.nodes[3])
			b.submit(b.nodes[3])
		},
		"the route moves back while all VMs restart": func(b *movedBatch) {
			for _, n := range b.nodes {
				b.signal(n, syscall.SIGKILL)
			}
			b.move(false)
			b.restart(b.nodes...)
			for _, n := range b.nodes {
				b.submit(n)
			}
		},
		"a VM starts while the batch's partition is down": func(b *movedBatch) {
			down := batch.PartitionOf("drafting", b.store.Partitions).Index
			b.store.Set(func(s *errata.Store) {
				s.PartitionDown = func(topic string, part int) bool { return topic == batch.IndexTopic && part == down }
			})
			b.restart(b.nodes[3])
			for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
				a := b.call(b.nodes[3].vm, http.MethodPost, movedPath+b.id, b.id, b.body)
				if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
					b.t.Errorf("a VM that can't read where the batch is answers %d", a.status)
				}
			}
			b.store.Set(func(s *errata.Store) { s.PartitionDown = nil })
			b.submit(b.nodes[3])
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newMovedBatch(t, binary)
			b.submit(b.nodes[0])
			b.readFor(2 * time.Second)
			b.move(true)
			b.readFor(2500 * time.Millisecond)
			resend(b)
			b.readFor(movedReading)
			b.endAndJudge()
		})
	}
}

// newMovedBatch starts six VMs before two services of engines. The VMs' settings go on saying that the deployment starts for the first time.
func newMovedBatch(t *testing.T, binary string) *movedBatch {
	b := &movedBatch{id: "b1", processSoak: &processSoak{deployment: newSoakDeployment(t), binaries: []string{binary}, start: time.Now(), dir: t.TempDir()}}
	b.recordEvents()
	b.startSpares(soakEngines)
	for _, e := range slices.Concat(b.engines, b.spares) {
		e.Set(func(e *errata.Target) {
			e.EventsPerStream, e.EventInterval, e.TagEvents = 30, 60*time.Millisecond, false
		})
	}
	for i := range soakVMs {
		n := b.newNode(i)
		settings, err := os.ReadFile(n.settings)
		b.is.NoErr(err)
		b.is.NoErr(os.WriteFile(n.settings, append([]byte("Bootstrap = true\n"), settings...), 0o644))
		b.nodes = append(b.nodes, n)
	}
	b.restart(b.nodes...)
	for i := range movedItems {
		b.items = append(b.items, fmt.Sprintf("i%d", i))
	}
	b.body = submission(1, 0, b.items...)
	return b
}

// move sends the batch's path to the spare service, or back.
func (b *movedBatch) move(spare bool) {
	b.reconfigure(func() {
		b.movedRoute = ""
		if spare {
			b.movedRoute = movedRouteRow()
		}
	})
}

// restart kills the processes of VMs, if they have any, starts them again, and returns as soon as they are ready.
func (b *movedBatch) restart(nodes ...*soakVM) {
	for _, n := range nodes {
		b.signal(n, syscall.SIGKILL)
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range nodes {
		b.launch(n)
	}
	for _, n := range nodes {
		b.eventually(10*time.Second, n.name+" is ready", func() bool { return b.ready(n) })
	}
}

// submit submits the batch at a VM until it is accepted.
func (b *movedBatch) submit(n *soakVM) {
	b.untilDone("the batch is accepted by "+n.name, func() bool {
		return b.call(n.vm, http.MethodPost, movedPath+b.id, b.id, b.body).status == http.StatusAccepted
	})
}

// readFor reads the batch from its start at each VM in turn.
func (b *movedBatch) readFor(d time.Duration) {
	for i, until := 0, time.Now().Add(d); time.Now().Before(until); i++ {
		n, began := b.nodes[i%len(b.nodes)], time.Now()
		p, status := b.readPage(n.vm, b.id, 0)
		if status == http.StatusNotFound {
			b.t.Errorf("%s answers 404 for the batch", n.name)
		}
		if status != http.StatusOK {
			continue
		}
		for at, r := range p.Results {
			switch {
			case at == len(b.read):
				b.read, b.readAt = append(b.read, r), append(b.readAt, time.Now())
			case r.Id != b.read[at].Id || r.Text != b.read[at].Text || !slices.Equal(r.Versions, b.read[at].Versions):
				b.t.Errorf("position %d holds %s at %s, and held %s before, or another text", at, r.Id, n.name, b.read[at].Id)
			}
		}
		if at := len(p.Results); at < len(b.read) && began.Sub(b.readAt[at]) > positionSettleTime {
			b.t.Errorf("%s has nothing at position %d, which was read %s before", n.name, at, began.Sub(b.readAt[at]))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// endAndJudge ends the batch and checks that each item is listed once and that none begins afterwards.
func (b *movedBatch) endAndJudge() {
	b.untilDone("the batch is ended", func() bool {
		return b.call(b.nodes[1].vm, http.MethodDelete, "/v1/lots/"+b.id, "", "").status == http.StatusOK
	})
	ended := time.Now()
	b.readFor(cancelTime + time.Second)
	b.is.True(len(b.read) > 0)
	b.checkResults(b.read, 30)
	for _, e := range slices.Concat(b.engines, b.spares) {
		for _, r := range e.ExecutedRequests() {
			if r.At.Sub(ended) > cancelTime {
				b.t.Errorf("%s begins %s after the confirmation of the end", r.ID, r.At.Sub(ended))
			}
		}
	}
}
