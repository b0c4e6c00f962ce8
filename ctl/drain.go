package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/config"
	"github.com/spf13/cobra"
)

// maxDrainAttempts is the number of times that drain edits the row if other changes conflict.
const maxDrainAttempts = 5

func (a *app) drainCommand() *cobra.Command {
	var undo bool
	e := editFlags{}
	cmd := &cobra.Command{
		Use:   "drain TARGET",
		Short: "Stop sending new work to a target, or resume",
		Long: `Mark a target as draining in its pool's row: it gets no new work, and running work completes.
TARGET is POOL/NAME, a name that is in only one pool, or an address. If another change modifies the
row in the meantime, the edit is repeated on the new row.`,
		Example: `  ibisctl drain drafting-models/sampler-3 --wait
  ibisctl drain 10.0.1.7:8000 --undo`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.drain(cmd.Context(), args[0], !undo, &e)
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "resume sending work to the target")
	cmd.Flags().StringVar(&e.author, "author", defaultAuthor(), "author of the change, shown in the history")
	cmd.Flags().StringVar(&e.note, "note", "", "reason for the change, shown in the history")
	cmd.Flags().BoolVar(&e.wait, "wait", false, "wait until every node has the change in force")
	return cmd
}

func (a *app) drain(ctx context.Context, target string, draining bool, e *editFlags) error {
	ctx, c, done, err := a.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	var conflict error
	for range maxDrainAttempts {
		current, err := c.get(ctx)
		if err != nil {
			return err
		}
		pool, err := withDraining(&current.Snapshot.Tables, target, draining)
		if err != nil {
			return err
		}
		next := config.Overlay(current.Snapshot.Tables, config.Tables{Pools: []config.Pool{*pool}})
		change := config.Diff(current.Snapshot, next, e.author)
		if len(change.Edits) == 0 {
			return a.reportNoChange(ctx, c, e, current.Snapshot.Revision)
		}
		change.Note, change.ID = e.note, uuid.NewString()
		d, err := c.publish(ctx, change, "run the same command again, which is safe")
		if err != nil {
			return err
		}
		if d.Accepted || len(d.Conflicts) == 0 {
			return a.reportDecision(ctx, c, e, d)
		}
		conflict = conflictError(d.Conflicts)
	}
	return &Error{Exit: ExitConflict, Message: fmt.Sprintf("all %d attempts conflicted with other changes of the row", maxDrainAttempts), Err: conflict, Remedy: "try again"}
}

// withDraining returns a copy of target's pool in which the target's Draining is set to draining.
func withDraining(t *config.Tables, target string, draining bool) (*config.Pool, error) {
	type position struct{ pool, target int }
	var found []position
	for i := range t.Pools {
		for j := range t.Pools[i].Targets {
			if matchesTarget(&t.Pools[i], &t.Pools[i].Targets[j], target) {
				found = append(found, position{i, j})
			}
		}
	}
	switch len(found) {
	case 0:
		return nil, usageErrorf("run `ibisctl get pools NAME` for the targets of a pool", "there is no target %q", target)
	case 1:
		p := t.Pools[found[0].pool]
		p.Targets = slices.Clone(p.Targets)
		p.Targets[found[0].target].Draining = draining
		return &p, nil
	}
	pools := make([]string, len(found))
	for i, f := range found {
		pools[i] = t.Pools[f.pool].Name + "/" + target
	}
	return nil, usageErrorf("specify one of "+strings.Join(pools, ", "), "target %q is in several pools", target)
}

// matchesTarget reports whether arg is t's name, address or POOL/NAME.
func matchesTarget(p *config.Pool, t *config.Target, arg string) bool {
	return arg == t.Name || arg == t.Address || arg == p.Name+"/"+t.Name
}
