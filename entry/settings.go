// Package entry assembles the process of an entry VM: it follows the configuration and registrations in the
// store, serves single requests and batches, orders weight versions of engines, answers readiness checks and
// shuts down gracefully.
package entry

import "time"

// minHolderCores is the CPU share that a tenure holder needs, in cores: it processes every event of every item of its
// pools.
const minHolderCores = 0.5

// Settings are the settings of a process, read from the platform's settings file.
type Settings struct {
	VM               string
	AvailabilityZone string
	IP               string
	ListenAddress    string
	ReadyAddress     string
	StoreAddress     string
	// RelayAddress is where other VMs call the store through this one; "" means that this VM has no relay.
	RelayAddress string
	// RPCAddress is where this VM serves the calls of other VMs; "" means that it serves none.
	RPCAddress string
	// Partitions is the number of partitions of each topic.
	Partitions int
	// RecordBytes and CallBytes limit one record and all records of one append, in bytes.
	RecordBytes, CallBytes int
	// PartitionBytes is how much of a partition the store keeps, in bytes; 0 if that is unlimited.
	PartitionBytes int64
	Cores          int
	// CPUShare is the fraction of each core that the VM may use.
	CPUShare    float64
	MemoryBytes int64
	// MaxDescriptors is the number of file descriptors that the process may have open; 0 if that is unlimited.
	MaxDescriptors int
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// OrderHandover is the minimum time between the orders of two successive holders to one engine.
	OrderHandover time.Duration
	// BatchRetention is how long a batch can be read after its submission.
	BatchRetention time.Duration
	// FailClosed refuses requests that need an API key while the tables may be older than RevokeWithin, within which a removed key must
	// end. Otherwise the VM goes on with the tables that it has.
	FailClosed   bool
	RevokeWithin time.Duration
	Duties       DutySettings
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
}

// DutySettings are the settings of the duties that one VM has towards the platform's API.
type DutySettings struct {
	// Address is that of the API; empty if there is none.
	Address string
	// ReportUsage and OrderTargets tell which duties there are.
	ReportUsage, OrderTargets bool
	// CallsPerSecond limits the calls of all VMs together; 0 means no limit.
	CallsPerSecond float64
	// UsageWindow is the length of a usage window, UsageDue the time after its end by which it must be reported.
	UsageWindow, UsageDue time.Duration
}

// maxCallerConnections returns how many connections callers may have open; 0 if neither memory nor descriptors are limited.
func (s *Settings) maxCallerConnections() int {
	n := 0
	if s.MemoryBytes > 0 {
		n = int(connectionMemoryFraction * float64(s.MemoryBytes) / connectionBytes)
	}
	if s.MaxDescriptors > 0 {
		sockets := (s.MaxDescriptors - reservedDescriptors) / 2
		if n == 0 || sockets < n {
			n = sockets
		}
	}
	if s.MemoryBytes > 0 || s.MaxDescriptors > 0 {
		n = max(n, minCallerConnections)
	}
	return n
}

// Small reports whether the VM has too little CPU for work that another VM can do.
func (s *Settings) Small() bool {
	return s.CPUShare > 0 && s.CPUShare*float64(max(1, s.Cores)) < minHolderCores
}
