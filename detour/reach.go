package detour

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// Stranded reports whether this VM reaches no target itself.
func (c *Client) Stranded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.stranded
}

// Reaches reports whether this VM reaches any of the targets, according to a recent sign or by opening connections to some. Without targets,
// or without other VMs that could reach them, it returns true.
func (c *Client) Reaches(ctx context.Context, instances []*fleet.Instance) bool {
	c.mu.Lock()
	stranded, alone := c.paths.stranded, len(c.peers.vms) == 0
	c.mu.Unlock()
	if stranded || alone || len(instances) == 0 || c.reachesTargets(time.Now()) {
		return !stranded || alone
	}
	first := rand.IntN(len(instances))
	results := make(chan bool, otherProbes)
	for i := range otherProbes {
		in := instances[(first+i)%len(instances)]
		go func() { results <- c.opts.Targets.Connect(ctx, in) == nil }()
	}
	for range otherProbes {
		if <-results {
			return true
		}
	}
	return false
}

// OthersReach reports whether another VM is known to reach a target, after asking some if necessary.
func (c *Client) OthersReach(ctx context.Context, in *fleet.Instance) bool {
	good := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.peers.good(time.Now(), in.Key())
	}
	if !good() {
		c.scout(ctx, in)
	}
	return good()
}

// State is the state of the paths to the targets, for the state dump.
type State struct {
	// Stranded is set if this VM reaches no target itself.
	Stranded bool `json:"stranded"`
	// Lost holds the targets that it does not reach although it reaches others.
	Lost []string `json:"lost,omitempty"`
	// Through holds the VMs that passed calls on lately.
	Through []string `json:"through,omitempty"`
}

// State returns the current state.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{Stranded: c.paths.stranded}
	for target := range c.paths.lost {
		s.Lost = append(s.Lost, target.ID)
	}
	now := time.Now()
	for _, p := range c.peers.vms {
		if now.Before(p.goodUntil) {
			s.Through = append(s.Through, p.Name)
		}
	}
	slices.Sort(s.Lost)
	slices.Sort(s.Through)
	return s
}

// Gone reports whether a target has ended: nothing listens at its address. An address that does not respond, as behind a network
// partition, is not gone. A partition may also refuse connections, so other VMs are asked to confirm it.
func (c *Client) Gone(ctx context.Context, in *fleet.Instance) bool {
	err := c.opts.Targets.Connect(ctx, in)
	if !targets.Refused(err) {
		return false
	}
	reached, refused := c.probeFromPeers(ctx, in)
	if reached {
		c.losePath(in, err)
	}
	return !reached && (refused || c.reachesAnother(ctx, in))
}

// reachesAnother reports whether a connection to a target other than in opens, or in is the only one.
func (c *Client) reachesAnother(ctx context.Context, in *fleet.Instance) bool {
	all := c.opts.View.Get().Instances
	c.mu.Lock()
	others := c.paths.others(in, all, confirmProbes)
	c.mu.Unlock()
	for _, other := range others {
		if c.opts.Targets.Connect(ctx, other) == nil {
			return true
		}
	}
	return len(others) == 0
}

// reachesTargets reports whether a target has given a sign lately, so that open connections can be trusted.
func (c *Client) reachesTargets(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.paths.answeredAt) < freshTTL
}
