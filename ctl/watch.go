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

// watchPeriod is the pause between two questions for the nodes' revisions.
const watchPeriod = 250 * time.Millisecond

func (a *app) watchCommand() *cobra.Command {
	var revision int64
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Wait until every live node has the newest configuration in force",
		Long: `Wait until the gate of every live node has the newest decided revision in force, and print each
node as it gets there. Exit code 5 names the nodes that lack it at the end of --timeout.`,
		Example: `  ibisctl watch --timeout 30s
  ibisctl watch --revision 812`,
		Args: cobra.NoArgs,
		RunE: a.remote(func(ctx context.Context, c *client, _ []string) error {
			return a.watchUntil(ctx, c, trial.Offset(revision))
		}),
	}
	cmd.Flags().Int64Var(&revision, "revision", 0, "revision to wait for (default: the newest decided one)")
	return cmd
}

// watchResult is the end of a watch.
type watchResult struct {
	Revision trial.Offset `json:"revision"`
	Nodes    int          `json:"nodes"`
	Pending  []string     `json:"pending"`
	// Unknown are nodes that are dead to the others: if a gate lives there, nobody can tell what it has.
	Unknown []string `json:"unknown"`
}

// watchUntil waits until all live gates have revision want, or the newest if want is 0.
func (a *app) watchUntil(ctx context.Context, c *client, want trial.Offset) error {
	shown := map[string]bool{}
	last := watchResult{Revision: want}
	for {
		n, err := c.nodes(ctx)
		if err != nil && ctx.Err() == nil {
			return err
		}
		if err == nil {
			if want == 0 {
				want = n.Latest
			}
			last = progress(n.Members, want)
			a.showProgress(n.Members, want, shown)
			if last.Nodes > 0 && len(last.Pending) == 0 {
				return a.watched(last)
			}
		}
		if !pause(ctx, watchPeriod) {
			return watchTimeout(last)
		}
	}
}

func (a *app) watched(r watchResult) error {
	if a.output == outputJSON {
		return a.printJSON(r)
	}
	fmt.Fprintf(a.out, "revision %d is in force on all %d live gates\n", r.Revision, r.Nodes)
	if len(r.Unknown) > 0 {
		fmt.Fprintf(a.out, "not known of nodes whose steward does not answer: %s\n", strings.Join(r.Unknown, ", "))
	}
	return nil
}

func watchTimeout(r watchResult) error {
	e := &Error{Exit: ExitTimeout, Message: fmt.Sprintf("revision %d is not in force everywhere yet", r.Revision)}
	if r.Nodes == 0 {
		e.Remedy = "no live gate is known: check that ibisgate runs beside each steward"
		return e
	}
	e.Message += ": " + strings.Join(r.Pending, ", ") + " lack it"
	e.Remedy = "look at them with `ibisctl nodes` and `ibisctl dump`; a node that is cut off follows when it is back"
	return e
}

// serving tells whether a member's gate has to have the configuration.
func serving(m *wire.Member) bool {
	return m.GateIncarnation != "" && (m.Status == wire.StatusAlive || m.Status == wire.StatusSuspect)
}

func progress(members []wire.Member, want trial.Offset) watchResult {
	r := watchResult{Revision: want, Pending: []string{}, Unknown: []string{}}
	for i := range members {
		m := &members[i]
		if m.Status == wire.StatusDead {
			r.Unknown = append(r.Unknown, m.Node.ID)
		}
		if !serving(m) {
			continue
		}
		r.Nodes++
		if m.Revision < want {
			r.Pending = append(r.Pending, m.Node.ID)
		}
	}
	return r
}

func (a *app) showProgress(members []wire.Member, want trial.Offset, shown map[string]bool) {
	for i := range members {
		m := &members[i]
		if serving(m) && m.Revision >= want && !shown[m.Node.ID] {
			shown[m.Node.ID] = true
			if a.output == outputText {
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
		RunE: a.remote(func(ctx context.Context, c *client, _ []string) error {
			n, err := c.nodes(ctx)
			if err != nil {
				return err
			}
			return a.printNodes(n)
		}),
	}
}

func (a *app) printNodes(n *wire.NodesResult) error {
	if a.output == outputJSON {
		return a.printJSON(n)
	}
	fmt.Fprintf(a.out, "newest revision %d\n", n.Latest)
	var rows [][]string
	for i := range n.Members {
		m := &n.Members[i]
		rows = append(rows, []string{m.Node.ID, m.Node.AvailabilityZone, string(m.Status), gateState(m), fmt.Sprint(m.Revision), m.Node.StewardAddress, m.Node.GateAddress, m.Node.GateHTTP})
	}
	a.table([]string{"NODE", "AZ", "STATUS", "GATE", "REVISION", "STEWARD", "GATE_RPC", "GATE_HTTP"}, rows)
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
