package fleet

import (
	"context"
	"sync/atomic"
)

// Snapshot is a consistent state of a Directory. It must not be modified.
type Snapshot struct {
	Tables        *Tables
	Instances     []*Instance
	NamedVersions map[string]int64
	BatchRouting  BatchRouting
}

// Pool returns the instances of a pool.
func (s *Snapshot) Pool(name string) []*Instance {
	var out []*Instance
	for _, i := range s.Instances {
		if i.Pool == name {
			out = append(out, i)
		}
	}
	return out
}

// View publishes the newest snapshot to the components of a VM. It is safe for concurrent use.
type View struct {
	snapshot atomic.Pointer[Snapshot]
	changed  atomic.Pointer[chan struct{}]
}

// NewView returns a view with an empty snapshot.
func NewView() *View {
	v := &View{}
	v.snapshot.Store(&Snapshot{})
	ch := make(chan struct{})
	v.changed.Store(&ch)
	return v
}

// Get returns the newest snapshot.
func (v *View) Get() *Snapshot { return v.snapshot.Load() }

// Changed returns a channel that is closed by the next Set. To miss no change, call it before Get.
func (v *View) Changed() <-chan struct{} { return *v.changed.Load() }

// Follow calls update with the newest snapshot, at first and after each change, until ctx ends.
func (v *View) Follow(ctx context.Context, update func(*Snapshot)) {
	for ctx.Err() == nil {
		changed := v.Changed()
		update(v.Get())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Set publishes a snapshot and notifies the receivers of Changed.
func (v *View) Set(s *Snapshot) {
	v.snapshot.Store(s)
	next := make(chan struct{})
	close(*v.changed.Swap(&next))
}
