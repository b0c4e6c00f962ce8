package capacity

import (
	"expvar"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// sample is what a window of time has cost.
type sample struct {
	// BytesMean and BytesMax are control bytes a second on the network, received and sent, of the
	// mean and of the busiest node that is no relay.
	BytesMean float64 `json:"bytes_mean"`
	BytesMax  float64 `json:"bytes_max"`
	// RelayBytes are those of the mean relay.
	RelayBytes float64 `json:"relay_bytes"`
	// WatchBytes are the payloads to the gate of the same VM, over loopback, a second.
	WatchBytes float64 `json:"watch_bytes"`
	// CPUPercent is the processor time a node, in percent of a core; the stand-ins' is in it.
	CPUPercent float64 `json:"cpu_percent"`
	// HeapMB is the memory in use a node, in MB, above that of the empty process.
	HeapMB float64 `json:"heap_mb"`
	// Appends and Reads are what the log got a second.
	Appends float64 `json:"log_appends"`
	Reads   float64 `json:"log_reads"`
	// ByKind are bytes a second of the mean node.
	ByKind map[string]float64 `json:"by_kind"`
}

// networkKinds are the counters of whole connections.
var networkKinds = []string{"total.rpc", "log", "store", "vms", "engine"}

// watchMethod is counted by payload, to be taken off the network's bytes.
const watchMethod = "steward.watch"

// counters returns a node's byte counters.
func (n *node) counters() map[string]float64 {
	out := map[string]float64{}
	n.metrics.SubMap("control_bytes").Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out[kv.Key] += float64(v.Value())
		}
	})
	return out
}

func network(c map[string]float64) float64 {
	sum := 0.0
	for _, k := range networkKinds {
		sum += c["rx."+k] + c["tx."+k]
	}
	return sum - watched(c)
}

func watched(c map[string]float64) float64 { return c["rx."+watchMethod] + c["tx."+watchMethod] }

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the memory in use after a collection, in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measure samples the cluster over a window; base is the heap of the empty process.
func (c *cluster) measure(window time.Duration, base float64) sample {
	nodes := c.running()
	before := make([]map[string]float64, len(nodes))
	for i, n := range nodes {
		before[i] = n.counters()
	}
	journal, cpu, began := c.log.Journal(), cpuTime(), time.Now()
	time.Sleep(window)
	seconds := time.Since(began).Seconds()
	spent, journalAfter := cpuTime()-cpu, c.log.Journal()
	s := sample{ByKind: map[string]float64{}}
	relays := 0
	for i, n := range nodes {
		after := n.counters()
		diff := map[string]float64{}
		for k, v := range after {
			diff[k] = (v - before[i][k]) / seconds
			if !strings.HasSuffix(k, ".total.rpc") {
				s.ByKind[k] += diff[k] / float64(len(nodes))
			}
		}
		s.WatchBytes += watched(diff) / float64(len(nodes))
		if i < zones { // the lowest IDs of the zones
			s.RelayBytes += network(diff)
			relays++
			continue
		}
		s.BytesMean += network(diff)
		s.BytesMax = max(s.BytesMax, network(diff))
	}
	s.RelayBytes /= float64(max(1, relays))
	s.BytesMean /= float64(max(1, len(nodes)-relays))
	s.CPUPercent = 100 * spent.Seconds() / seconds / float64(len(nodes))
	s.Appends = float64(journalAfter.Appends-journal.Appends) / seconds
	s.Reads = float64(journalAfter.Reads-journal.Reads) / seconds
	s.HeapMB = (heap() - base) / float64(len(nodes)) / (1 << 20)
	return s
}
