package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

const operatorToken = "operator-token"

// fakeSteward serves ibisctl's methods from a real config.Machine, without a log or peers.
type fakeSteward struct {
	t       *testing.T
	mu      sync.Mutex
	machine *config.Machine
	members []wire.Member
	// concurrent holds changes that are decided just before the next applied one.
	concurrent []config.Change
	// lostAnswers is the number of applies that take effect but are answered with CodeUnavailable
	// after their timeout.
	lostAnswers int
	address     string
}

func newFakeSteward(t *testing.T) *fakeSteward {
	t.Helper()
	s := &fakeSteward{t: t, machine: config.NewMachine()}
	s.machine.SetFirstRetained(1)
	s.address = serveRPC(t, map[string]rpc.Handler{
		wire.MethodGet:     rpc.NewHandler(s.get),
		wire.MethodApply:   rpc.NewHandler(s.apply),
		wire.MethodHistory: rpc.NewHandler(s.history),
		wire.MethodNodes:   rpc.NewHandler(s.nodes),
	})
	return s
}

func serveRPC(t *testing.T, handlers map[string]rpc.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	open := map[string]bool{}
	for m := range handlers {
		open[m] = true
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- rpc.NewServer(rpc.Options{Token: "peers", PublicMethods: open}, handlers).Serve(ctx, l)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func authorize(token string) error {
	if token != operatorToken {
		return rpc.Errorf(wire.CodeUnauthorized, "operator token is wrong")
	}
	return nil
}

func (s *fakeSteward) get(_ context.Context, p wire.OperatorParams) (wire.GetResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.GetResult{Snapshot: s.machine.Snapshot()}, authorize(p.Token)
}

func (s *fakeSteward) history(_ context.Context, p wire.HistoryParams) (wire.HistoryResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.HistoryResult{Decisions: s.machine.History()}, authorize(p.Token)
}

// nodes lets one more member reach the newest revision with each call. The node "stuck" never does.
func (s *fakeSteward) nodes(_ context.Context, p wire.OperatorParams) (wire.NodesResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.members {
		if s.members[i].Revision < s.machine.Revision() && s.members[i].Node.ID != "stuck" {
			s.members[i].Revision = s.machine.Revision()
			break
		}
	}
	return wire.NodesResult{Latest: s.machine.Revision(), Members: append([]wire.Member{}, s.members...)}, authorize(p.Token)
}

func (s *fakeSteward) apply(ctx context.Context, p wire.ApplyParams) (wire.ApplyResult, error) {
	if err := authorize(p.Token); err != nil {
		return wire.ApplyResult{}, err
	}
	d, seen := s.publish(p.Change)
	if seen {
		return wire.ApplyResult{Decision: d}, nil
	}
	pause(ctx, time.Duration(p.TimeoutMs)*time.Millisecond)
	return wire.ApplyResult{}, rpc.Errorf(wire.CodeUnavailable, "not read back in time")
}

// publish decides a change. seen reports whether the decision is returned to the operator.
func (s *fakeSteward) publish(c config.Change) (d config.Decision, seen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.concurrent {
		s.decide(r)
	}
	s.concurrent = nil
	s.decide(c)
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return config.Decision{}, false
	}
	return s.machine.Lookup(c.ID)
}

func (s *fakeSteward) decide(c config.Change) {
	rec, err := config.EncodeChange(c)
	if err != nil {
		s.t.Error(err)
	}
	s.machine.Apply(trial.Record{Offset: s.machine.Next(), ID: rec.ID, Data: rec.Data})
}

func (s *fakeSteward) tables() *config.Tables {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Tables()
}

// run runs ibisctl against the servers and returns its exit code and output.
func run(t *testing.T, servers []string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte(operatorToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, s := range servers {
		args = append(args, "--server", s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out, errs bytes.Buffer
	code = Main(ctx, append(args, "--token-file", token), &out, &errs)
	return code, out.String(), errs.String()
}

func writeJSON(t *testing.T, v any) string {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
