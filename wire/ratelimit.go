package wire

// MethodPermits asks an entry VM for permission to send requests to a target that has named a rate limit:
// PermitsParams -> PermitsResult.
const MethodPermits = "entry.permits"

// PermitsParams asks for permits to send requests to one target.
type PermitsParams struct {
	// Target, StartedMs and AvailabilityZone are those of the target's instance.
	Target           string `json:"target"`
	StartedMs        int64  `json:"started_ms,omitempty"`
	AvailabilityZone string `json:"az"`
	// PerSecond is the limit that the target named StatedMsAgo milliseconds ago.
	PerSecond   float64 `json:"per_second"`
	StatedMsAgo int64   `json:"stated_ms_ago"`
	// Background is set for requests that yield to those of callers.
	Background bool `json:"background,omitempty"`
	// Count is the number of permits wanted. With 0, the call only checks that the VM answers.
	Count int `json:"count"`
	// Hops is the number of times that the request was passed on.
	Hops int `json:"hops,omitempty"`
	// Declined lists the VMs that were asked before and do not coordinate the target.
	Declined []string `json:"declined,omitempty"`
}

// PermitsResult grants permits. They must be used at once.
type PermitsResult struct {
	Granted int `json:"granted"`
	// RetryAfterMs is the time until a permit may be available if fewer were granted than wanted.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Declined is set if neither this VM nor one that it asked coordinates the target.
	Declined bool `json:"declined,omitempty"`
}
