package wire

// Methods by which entry VMs tell each other where streams began.
const (
	// MethodRecordOrigins hands over origins of streams: RecordOriginsParams -> Empty.
	MethodRecordOrigins = "entry.record_origins"
	// MethodFindOrigin returns the origin of a stream: FindOriginParams -> FindOriginResult.
	MethodFindOrigin = "entry.find_origin"
)

// Origin tells which targets can continue a stream.
type Origin struct {
	// ID is the ID of the client's attempt that got the first event.
	ID   string `json:"id"`
	Pool string `json:"pool"`
	// Software is the software version of the target that began the stream.
	Software string `json:"software"`
}

// RecordOriginsParams hands over the origins of streams that began at the calling VM.
type RecordOriginsParams struct {
	Origins []Origin `json:"origins"`
}

// FindOriginParams asks for the origin of a stream.
type FindOriginParams struct {
	ID string `json:"id"`
}

// FindOriginResult is the origin of a stream; nil if the VM does not know it.
type FindOriginResult struct {
	Origin *Origin `json:"origin,omitempty"`
}
