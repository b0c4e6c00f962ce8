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

// drainTries bounds how often a drain is redone on rows that others moved.
const drainTries = 5

func (a *app) drainCommand() *cobra.Command {
	var undo bool
	e := editFlags{}
	cmd := &cobra.Command{
		Use:   "drain TARGET",
		Short: "Give a target no new work, or take it back",
		Long: `Mark a target as draining in its pool's row: it gets no new work, and what runs there ends.
TARGET is POOL/NAME, a name that only one pool has, or an address. If another change moves the row
in the meantime, the edit is made again on the new row.`,
		Example: `  ibisctl drain drafting-models/sampler-3 --wait
  ibisctl drain 10.0.1.7:8000 --undo`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.drain(cmd.Context(), args[0], !undo, &e)
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "give the target work again")
	cmd.Flags().StringVar(&e.author, "author", defaultAuthor(), "name that the history shows")
	cmd.Flags().StringVar(&e.note, "note", "", "why, for the history")
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
	for range drainTries {
		got, err := c.get(ctx)
		if err != nil {
			return err
		}
		pool, err := withDraining(&got.Snapshot.Tables, target, draining)
		if err != nil {
			return err
		}
		next := config.Overlay(got.Snapshot.Tables, config.Tables{Pools: []config.Pool{*pool}})
		change := config.Diff(got.Snapshot, next, e.author)
		if len(change.Edits) == 0 {
			return a.unchanged(ctx, c, e, got.Snapshot.Revision)
		}
		change.Note, change.ID = e.note, uuid.NewString()
		d, err := c.publish(ctx, change, "run the same command again, which changes nothing twice")
		if err != nil {
			return err
		}
		if d.Accepted || len(d.Conflicts) == 0 {
			return a.report(ctx, c, e, d)
		}
		conflict = conflictError(d.Conflicts)
	}
	return &Error{Exit: ExitConflict, Message: fmt.Sprintf("the row moved %d times meanwhile", drainTries), Err: conflict, Remedy: "try again"}
}

// withDraining returns a copy of the row of target's pool with the target's draining set.
func withDraining(t *config.Tables, target string, draining bool) (*config.Pool, error) {
	type place struct{ pool, target int }
	var found []place
	for i := range t.Pools {
		for j := range t.Pools[i].Targets {
			if names(&t.Pools[i], &t.Pools[i].Targets[j], target) {
				found = append(found, place{i, j})
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
	return nil, usageErrorf("name one of "+strings.Join(pools, ", "), "target %q stands in several pools", target)
}

func names(p *config.Pool, t *config.Target, arg string) bool {
	return arg == t.Name || arg == t.Address || arg == p.Name+"/"+t.Name
}
