package capacity

import (
	"expvar"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// sample holds the costs measured in one time window.
type sample struct {
	// BytesMean and BytesMax are the mean and the maximum over all nodes that are not relays of control bytes per
	// second on the network, received and sent.
	BytesMean float64 `json:"bytes_mean"`
	BytesMax  float64 `json:"bytes_max"`
	// RelayBytes is the mean over the relays.
	RelayBytes float64 `json:"relay_bytes"`
	// WatchBytes is the mean of payload bytes per second between a steward and the gate of its VM, over loopback.
	WatchBytes float64 `json:"watch_bytes"`
	// CPUPercent is the processor time per node in percent of a core, including that of the simulated platform.
	CPUPercent float64 `json:"cpu_percent"`
	// HeapMB is the memory in use per node in MB, without that of the empty process.
	HeapMB float64 `json:"heap_mb"`
	// Appends and Reads are the requests per second to the log.
	Appends float64 `json:"log_appends"`
	Reads   float64 `json:"log_reads"`
	// ByKind holds the mean bytes per second and node of each counter.
	ByKind map[string]float64 `json:"by_kind"`
}

// networkKinds lists the byte counters of whole connections.
var networkKinds = []string{"total.rpc", "log", "store", "vms", "engine"}

// watchMethod is the counter of watch payloads; they stay on the VM and are subtracted from the network bytes.
const watchMethod = "steward.watch"

// byteCounters returns a node's byte counters.
func (n *node) byteCounters() map[string]float64 {
	out := map[string]float64{}
	n.metrics.SubMap("control_bytes").Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out[kv.Key] += float64(v.Value())
		}
	})
	return out
}

func networkBytes(c map[string]float64) float64 {
	sum := 0.0
	for _, k := range networkKinds {
		sum += c["rx."+k] + c["tx."+k]
	}
	return sum - watchBytes(c)
}

func watchBytes(c map[string]float64) float64 { return c["rx."+watchMethod] + c["tx."+watchMethod] }

// cpuTime returns the user and system processor time of this process, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the heap and stack memory in use after a garbage collection, in bytes.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measure measures the cluster for the duration of window; baseHeap is the heap of the empty process, in bytes.
func (c *cluster) measure(window time.Duration, baseHeap float64) sample {
	nodes := c.running()
	before := make([]map[string]float64, len(nodes))
	for i, n := range nodes {
		before[i] = n.byteCounters()
	}
	journalBefore, cpuBefore, start := c.log.Journal(), cpuTime(), time.Now()
	time.Sleep(window)
	seconds := time.Since(start).Seconds()
	cpuUsed, journalAfter := cpuTime()-cpuBefore, c.log.Journal()
	s := sample{ByKind: map[string]float64{}}
	relays := 0
	for i, n := range nodes {
		after := n.byteCounters()
		diff := map[string]float64{}
		for k, v := range after {
			diff[k] = (v - before[i][k]) / seconds
			if !strings.HasSuffix(k, ".total.rpc") {
				s.ByKind[k] += diff[k] / float64(len(nodes))
			}
		}
		s.WatchBytes += watchBytes(diff) / float64(len(nodes))
		if i < zoneCount { // the node with the lowest ID of each zone is its relay
			s.RelayBytes += networkBytes(diff)
			relays++
			continue
		}
		s.BytesMean += networkBytes(diff)
		s.BytesMax = max(s.BytesMax, networkBytes(diff))
	}
	s.RelayBytes /= float64(max(1, relays))
	s.BytesMean /= float64(max(1, len(nodes)-relays))
	s.CPUPercent = 100 * cpuUsed.Seconds() / seconds / float64(len(nodes))
	s.Appends = float64(journalAfter.Appends-journalBefore.Appends) / seconds
	s.Reads = float64(journalAfter.Reads-journalBefore.Reads) / seconds
	s.HeapMB = (heapBytes() - baseHeap) / float64(len(nodes)) / (1 << 20)
	return s
}
