// Package entry joins the duties of an entry VM on the platform into one process: what it knows of
// the deployment, requests, batches, orders of weight versions, readiness and stopping.
package entry

import "time"

// Settings are what a process is told at its start.
type Settings struct {
	VM               string
	AvailabilityZone string
	IP               string
	ListenAddress    string
	ReadyAddress     string
	StoreAddress     string
	// Partitions is the number of partitions of each topic.
	Partitions int
	// RecordBytes and CallBytes bound one record and all records of one append.
	RecordBytes, CallBytes int
	Cores                  int
	// CPUShare is the part of a core that the VM gets.
	CPUShare    float64
	MemoryBytes int64
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// OrderHandover is how far apart the orders of two holders to one engine must be.
	OrderHandover time.Duration
	// BatchRetention is how long a batch stays readable after its submission.
	BatchRetention time.Duration
}
