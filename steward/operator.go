package steward

import (
	"context"
	"errors"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"golang.org/x/sync/errgroup"
)

// Limits of operator calls.
const (
	// DefaultApplyTimeout bounds the wait for the read-back of a change if the call sets no timeout.
	DefaultApplyTimeout = 10 * time.Second
	// ReadBackWait is how long to wait for the read-back of an append before it is sent again under the
	// same ID. The append may have succeeded although its response was lost.
	ReadBackWait = 2 * time.Second
	// NodesParallelism is how many nodes are asked for their revision in parallel.
	NodesParallelism = 16
	// NodeTimeout bounds the request to one node.
	NodeTimeout = time.Second
)

func (s *Steward) authorize(token string) error {
	if !settings.MatchesToken(s.opts.Settings.OperatorTokenSHA256, token) {
		return rpc.Errorf(wire.CodeUnauthorized, "operator token is wrong; set the token whose SHA-256 is operator_token_sha256 in the steward's settings")
	}
	return nil
}

// apply publishes a change and returns its decision after read-back. The ID of the change is the ID of the log
// record, so a change that is sent twice, by this method or by the operator, is applied once.
func (s *Steward) apply(ctx context.Context, p wire.ApplyParams) (wire.ApplyResult, error) {
	if err := s.authorize(p.Token); err != nil {
		return wire.ApplyResult{}, err
	}
	if p.Change.ID == "" || len(p.Change.Edits) == 0 {
		return wire.ApplyResult{}, rpc.Errorf(wire.CodeInvalid, "change has no id or no edits; make it with ibisctl apply")
	}
	if _, _, ready := s.tables.active(); !ready {
		return wire.ApplyResult{}, rpc.Errorf(wire.CodeNotReady, "no configuration is known here yet; try another steward")
	}
	timeout := time.Duration(p.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = DefaultApplyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d, err := s.publish(ctx, p.Change)
	return wire.ApplyResult{Decision: d}, err
}

// publish appends the change, again if necessary, until its decision is read back or ctx ends.
func (s *Steward) publish(ctx context.Context, c config.Change) (config.Decision, error) {
	decided, release := s.tables.awaitDecision(c.ID)
	defer release()
	rec, err := config.EncodeChange(c)
	if err != nil {
		return config.Decision{}, rpc.Errorf(wire.CodeInvalid, "%v", err)
	}
	var lastErr error
	for {
		actx, cancel := context.WithTimeout(ctx, AppendTimeout)
		_, err := s.platformLog.Append(actx, config.Stream, []trial.NewRecord{rec})
		cancel()
		var refused *trial.RefusedError
		if errors.As(err, &refused) {
			return config.Decision{}, rpc.Errorf(wire.CodeInvalid, "the log refused the change: %v", err)
		}
		lastErr = err
		wait := ReadBackWait
		var limited *trial.RateLimitedError
		if errors.As(err, &limited) {
			wait = limited.RetryAfter
		}
		select {
		case d := <-decided:
			return d, nil
		case <-time.After(wait):
		case <-ctx.Done():
			return config.Decision{}, rpc.Errorf(wire.CodeUnavailable,
				"change %s was not read back in time (last append: %v); whether it holds is open: see ibisctl history, or apply it again under the same id", c.ID, lastErr)
		}
	}
}

func (s *Steward) get(_ context.Context, p wire.OperatorParams) (wire.GetResult, error) {
	if err := s.authorize(p.Token); err != nil {
		return wire.GetResult{}, err
	}
	snap, ready := s.tables.Snapshot()
	if !ready {
		return wire.GetResult{}, rpc.Errorf(wire.CodeNotReady, "no configuration is known here yet; try another steward")
	}
	return wire.GetResult{Snapshot: snap}, nil
}

func (s *Steward) history(_ context.Context, p wire.HistoryParams) (wire.HistoryResult, error) {
	if err := s.authorize(p.Token); err != nil {
		return wire.HistoryResult{}, err
	}
	return wire.HistoryResult{Decisions: s.tables.history(p.Limit)}, nil
}

// nodes lists the known nodes. It asks the live ones for their revisions, which are not part of the gossip because
// they change on every node with every configuration change.
func (s *Steward) nodes(ctx context.Context, p wire.OperatorParams) (wire.NodesResult, error) {
	if err := s.authorize(p.Token); err != nil {
		return wire.NodesResult{}, err
	}
	_, revision, _ := s.tables.active()
	members := s.gossip.Members()
	var g errgroup.Group
	g.SetLimit(NodesParallelism)
	for i := range members {
		m := &members[i]
		if m.Node.ID == s.self.ID {
			*m = s.status()
			continue
		}
		if m.Status != wire.StatusAlive {
			continue
		}
		g.Go(func() error {
			cctx, cancel := context.WithTimeout(ctx, NodeTimeout)
			defer cancel()
			var current wire.Member
			if err := s.calls.Call(cctx, m.Node.StewardAddress, wire.MethodStatus, wire.Empty{}, &current); err == nil {
				m.Revision, m.GateIncarnation, m.GateDraining = current.Revision, current.GateIncarnation, current.GateDraining
			}
			return nil
		})
	}
	_ = g.Wait() // a node that does not answer is listed without a revision
	return wire.NodesResult{Latest: revision, Members: members}, nil
}
