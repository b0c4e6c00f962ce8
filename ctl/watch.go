package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/spf13/cobra"
)

// pollInterval is the delay between two polls of the nodes' revisions or of the VMs' states.
const pollInterval = 250 * time.Millisecond

func (a *app) watchCommand() *cobra.Command {
	var revision int64
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Wait until every live node has the newest configuration in force",
		Long: `Wait until the gate of every live node has the newest decided revision in force, and print each
node when it has. After --timeout the nodes that lack it are listed (exit code 5).`,
		Example: `  ibisctl watch --timeout 30s
  ibisctl watch --revision 812`,
		Args: cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, c *client, _ []string) error {
			return a.waitForRevision(ctx, c, trial.Offset(revision))
		}),
	}
	cmd.Flags().Int64Var(&revision, "revision", 0, "revision to wait for (default: the newest decided one)")
	return cmd
}

// watchResult is the state of the gates when a watch ends.
type watchResult struct {
	Revision trial.Offset `json:"revision"`
	Nodes    int          `json:"nodes"`
	Pending  []string     `json:"pending"`
	// Unknown lists nodes with StatusDead: a gate may still run there, with an unknown revision.
	Unknown []string `json:"unknown"`
}

// waitForRevision waits until all live gates have revision want in force, or the newest revision if want is 0.
func (a *app) waitForRevision(ctx context.Context, c *client, want trial.Offset) error {
	printed := map[string]bool{}
	result := watchResult{Revision: want}
	for {
		n, err := c.nodes(ctx)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if err == nil {
			if want == 0 {
				want = n.Latest
			}
			result = checkProgress(n.Members, want)
			a.printProgress(n.Members, want, printed)
			if result.Nodes > 0 && len(result.Pending) == 0 {
				return a.printWatchResult(result)
			}
		}
		if !pause(ctx, pollInterval) {
			return watchTimeoutError(result)
		}
	}
}

func (a *app) printWatchResult(r watchResult) error {
	if a.format == formatJSON {
		return a.printJSON(r)
	}
	fmt.Fprintf(a.out, "revision %d is in force on all %d live gates\n", r.Revision, r.Nodes)
	if len(r.Unknown) > 0 {
		fmt.Fprintf(a.out, "not known of nodes whose steward does not answer: %s\n", strings.Join(r.Unknown, ", "))
	}
	return nil
}

func watchTimeoutError(r watchResult) error {
	e := &Error{Exit: ExitTimeout, Message: fmt.Sprintf("revision %d is not in force on all live gates", r.Revision)}
	if r.Nodes == 0 {
		e.Remedy = "no live gate is known; check that ibisgate runs next to each steward"
		return e
	}
	e.Message += ": " + strings.Join(r.Pending, ", ") + " lack it"
	e.Remedy = "inspect these nodes with `ibisctl nodes` and `ibisctl dump`; a disconnected node catches up when it reconnects"
	return e
}

// hasLiveGate reports whether the member has a gate and is alive or suspect.
func hasLiveGate(m *wire.Member) bool {
	return m.GateIncarnation != "" && (m.Status == wire.StatusAlive || m.Status == wire.StatusSuspect)
}

// checkProgress returns which of the live gates lack revision want.
func checkProgress(members []wire.Member, want trial.Offset) watchResult {
	r := watchResult{Revision: want, Pending: []string{}, Unknown: []string{}}
	for i := range members {
		m := &members[i]
		if m.Status == wire.StatusDead {
			r.Unknown = append(r.Unknown, m.Node.ID)
		}
		if !hasLiveGate(m) {
			continue
		}
		r.Nodes++
		if m.Revision < want {
			r.Pending = append(r.Pending, m.Node.ID)
		}
	}
	return r
}

// printProgress prints the nodes that have revision want and are not in printed yet.
func (a *app) printProgress(members []wire.Member, want trial.Offset, printed map[string]bool) {
	for i := range members {
		m := &members[i]
		if hasLiveGate(m) && m.Revision >= want && !printed[m.Node.ID] {
			printed[m.Node.ID] = true
			if a.format == formatText {
				fmt.Fprintf(a.out, "%s (%s): revision %d\n", m.Node.ID, m.Node.AvailabilityZone, m.Revision)
			}
		}
	}
}

func (a *app) nodesCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "nodes",
		Short:   "Print the known nodes with their status and revision",
		Example: `  ibisctl nodes -o json`,
		Args:    cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, c *client, _ []string) error {
			n, err := c.nodes(ctx)
			if err != nil {
				return err
			}
			return a.printNodes(n)
		}),
	}
}

func (a *app) printNodes(n *wire.NodesResult) error {
	if a.format == formatJSON {
		return a.printJSON(n)
	}
	fmt.Fprintf(a.out, "newest revision %d\n", n.Latest)
	var rows [][]string
	for i := range n.Members {
		m := &n.Members[i]
		rows = append(rows, []string{m.Node.ID, m.Node.AvailabilityZone, string(m.Status), gateState(m), fmt.Sprint(m.Revision), m.Node.StewardAddress, m.Node.GateAddress, m.Node.GateHTTP})
	}
	a.printTable([]string{"NODE", "AZ", "STATUS", "GATE", "REVISION", "STEWARD", "GATE_RPC", "GATE_HTTP"}, rows)
	return nil
}

func gateState(m *wire.Member) string {
	switch {
	case m.GateIncarnation == "":
		return "down"
	case m.GateDraining:
		return "draining"
	}
	return "up"
}
