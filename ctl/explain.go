package ctl

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/wire"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

const (
	// explainConcurrency is the number of gates that are queried at a time.
	explainConcurrency = 32
	// explainTimeout is the time limit for the answer of one gate.
	explainTimeout = 3 * time.Second
)

// gateEvent is an event with the gate that recorded it.
type gateEvent struct {
	Gate string `json:"gate"`
	wire.Event
}

// explanation holds the events that the gates recorded for a request.
type explanation struct {
	RequestID string      `json:"request_id"`
	Events    []gateEvent `json:"events"`
	// Unreachable maps the ID of each gate that did not answer to the error.
	Unreachable map[string]string `json:"silent"`
}

func (a *app) explainCommand() *cobra.Command {
	var files []string
	var around string
	var steps bool
	cmd := &cobra.Command{
		Use:   "explain [REQUEST]",
		Short: "Print the decisions about a request or a sample, and their reasons",
		Long: `Query all live gates for the recorded events of a request, by the ID in its answer's header
Ibistrail-Request-Id, or of a trainer's sample, by its attempt ID, and print them in order of time.

With --logs only the log lines of entry VMs (ibisentry, on the platform) are read: the output is the
chain of decisions about a request, an item or a batch submission, with its first cause. The files
may come from several VMs whose clocks differ, and from processes that no longer run. Without an ID,
--around lists what changed near a time, and --steps shows for each step of a trainer where its time
went, in milliseconds: along the runs of the item that was ready last.`,
		Example: `  ibisctl explain 5f1c7d0e-1f5f-4d3a-9b3e-3f1f5d8f4c11
  ibisctl explain --logs vm-a.log,vm-b.log 4f755c76a86b3106
  ibisctl explain --logs vm-a.log,vm-b.log --around 2026-12-04T07:06:50Z
  ibisctl explain --logs vm-a.log,vm-b.log --steps`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case len(files) > 0:
				return a.explainLogs(files, args, around, steps)
			case steps:
				return usageErrorf("name the log files with --logs", "--steps reads the log lines of entry VMs")
			case len(args) == 0:
				return usageErrorf("specify the ID of a request or sample, or logs with --logs", "no ID is given")
			}
			return a.runWithClient(a.explainFromGates)(cmd, args)
		},
	}
	cmd.Flags().StringSliceVar(&files, "logs", nil, "files with the log lines of entry VMs; - is standard input")
	cmd.Flags().StringVar(&around, "around", "", "with --logs: list what changed near this time (RFC 3339)")
	cmd.Flags().BoolVar(&steps, "steps", false, "with --logs: show where the time of each trainer's step went")
	return cmd
}

func (a *app) explainFromGates(ctx context.Context, c *client, args []string) error {
	n, err := c.nodes(ctx)
	if err != nil {
		return err
	}
	return a.printExplanation(c.explain(ctx, n.Members, args[0]))
}

// explain queries the gates of the live members concurrently.
func (c *client) explain(ctx context.Context, members []wire.Member, request string) *explanation {
	answers := make([]wire.ExplainResult, len(members))
	failures := make([]error, len(members))
	var g errgroup.Group
	g.SetLimit(explainConcurrency)
	for i := range members {
		if !hasLiveGate(&members[i]) {
			continue
		}
		g.Go(func() error {
			gctx, cancel := context.WithTimeout(ctx, explainTimeout)
			defer cancel()
			params := wire.ExplainParams{OperatorParams: c.auth(), RequestID: request}
			failures[i] = c.pool.Call(gctx, members[i].Node.GateAddress, wire.MethodExplain, params, &answers[i])
			return nil
		})
	}
	_ = g.Wait() // failures holds the errors
	x := &explanation{RequestID: request, Events: []gateEvent{}, Unreachable: map[string]string{}}
	for i := range members {
		if failures[i] != nil {
			x.Unreachable[members[i].Node.ID] = failures[i].Error()
		}
		for _, e := range answers[i].Events {
			x.Events = append(x.Events, gateEvent{Gate: members[i].Node.ID, Event: e})
		}
	}
	slices.SortStableFunc(x.Events, func(a, b gateEvent) int { return a.Time.Compare(b.Time) })
	return x
}

func (a *app) printExplanation(x *explanation) error {
	if a.format == formatJSON {
		if err := a.printJSON(x); err != nil {
			return err
		}
	} else {
		var rows [][]string
		for _, e := range x.Events {
			rows = append(rows, []string{e.Time.UTC().Format(time.RFC3339Nano), e.Gate, e.Name, orDash(e.Detail)})
		}
		if len(rows) > 0 {
			a.printTable([]string{"TIME", "GATE", "EVENT", "DETAIL"}, rows)
		}
		for gate, reason := range x.Unreachable {
			fmt.Fprintf(a.errOut, "gate %s did not answer: %s\n", gate, reason)
		}
	}
	if len(x.Events) > 0 {
		return nil
	}
	e := &Error{Exit: ExitFailure, Message: fmt.Sprintf("no gate has events of request %s", x.RequestID), Remedy: "gates keep events of recent requests only, and lose them when they restart"}
	if len(x.Unreachable) > 0 {
		e.Exit = ExitUnavailable
	}
	return e
}
