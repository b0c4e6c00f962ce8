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

// Bounds of explain.
const (
	// explainConcurrency bounds the gates that are asked at a time.
	explainConcurrency = 32
	// explainTimeout bounds the answer of one gate.
	explainTimeout = 3 * time.Second
)

// gateEvent is an event with the gate that recorded it.
type gateEvent struct {
	Gate string `json:"gate"`
	wire.Event
}

// explanation is what all gates know of a request.
type explanation struct {
	RequestID string      `json:"request_id"`
	Events    []gateEvent `json:"events"`
	// Silent are gates that did not answer, with the reason.
	Silent map[string]string `json:"silent"`
}

func (a *app) explainCommand() *cobra.Command {
	var files []string
	var around string
	cmd := &cobra.Command{
		Use:   "explain [REQUEST]",
		Short: "Print what was decided about a request or a sample, and why",
		Long: `Ask all live gates for the recorded events of a request, by the ID in its answer's header
Ibistrail-Request-Id, or of a trainer's sample, by its attempt, and print them in order of time.

With --logs the answer comes from the log lines of entry VMs alone (ibisentry, on the platform): the
chain of decisions about a request, an item or a batch submission, and its first cause in words. The
files may be of several VMs whose clocks differ, and of processes that are gone. Without an ID,
--around lists what changed near a time.`,
		Example: `  ibisctl explain 5f1c7d0e-1f5f-4d3a-9b3e-3f1f5d8f4c11
  ibisctl explain --logs vm-a.log,vm-b.log 4f755c76a86b3106
  ibisctl explain --logs vm-a.log,vm-b.log --around 2026-12-04T07:06:50Z`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case len(files) > 0:
				return a.explainLogs(files, args, around)
			case len(args) == 0:
				return usageErrorf("name a request, or logs with --logs", "there is nothing to explain")
			}
			return a.remote(a.explainByGates)(cmd, args)
		},
	}
	cmd.Flags().StringSliceVar(&files, "logs", nil, "files with the log lines of entry VMs; - is standard input")
	cmd.Flags().StringVar(&around, "around", "", "with --logs: list what changed near this time (RFC 3339)")
	return cmd
}

func (a *app) explainByGates(ctx context.Context, c *client, args []string) error {
	n, err := c.nodes(ctx)
	if err != nil {
		return err
	}
	return a.printExplanation(c.explain(ctx, n.Members, args[0]))
}

// explain asks the gates of members side by side.
func (c *client) explain(ctx context.Context, members []wire.Member, request string) *explanation {
	answers := make([]wire.ExplainResult, len(members))
	failures := make([]error, len(members))
	var g errgroup.Group
	g.SetLimit(explainConcurrency)
	for i := range members {
		if !serving(&members[i]) {
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
	x := &explanation{RequestID: request, Events: []gateEvent{}, Silent: map[string]string{}}
	for i := range members {
		if failures[i] != nil {
			x.Silent[members[i].Node.ID] = failures[i].Error()
		}
		for _, e := range answers[i].Events {
			x.Events = append(x.Events, gateEvent{Gate: members[i].Node.ID, Event: e})
		}
	}
	slices.SortStableFunc(x.Events, func(a, b gateEvent) int { return a.Time.Compare(b.Time) })
	return x
}

func (a *app) printExplanation(x *explanation) error {
	if a.output == outputJSON {
		if err := a.printJSON(x); err != nil {
			return err
		}
	} else {
		var rows [][]string
		for _, e := range x.Events {
			rows = append(rows, []string{e.Time.UTC().Format(time.RFC3339Nano), e.Gate, e.Name, orDash(e.Detail)})
		}
		if len(rows) > 0 {
			a.table([]string{"TIME", "GATE", "EVENT", "DETAIL"}, rows)
		}
		for gate, why := range x.Silent {
			fmt.Fprintf(a.err, "gate %s did not answer: %s\n", gate, why)
		}
	}
	if len(x.Events) > 0 {
		return nil
	}
	e := &Error{Exit: ExitFailure, Message: fmt.Sprintf("no gate knows request %s", x.RequestID), Remedy: "gates keep the last requests only, and a gate that was restarted knows none from before"}
	if len(x.Silent) > 0 {
		e.Exit = ExitUnavailable
	}
	return e
}
