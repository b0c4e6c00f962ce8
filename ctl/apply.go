package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/spf13/cobra"
)

// editFlags tell what a change is made of.
type editFlags struct {
	file       string
	replaceAll bool
	deletes    []string
	author     string
	note       string
	changeID   string
	wait       bool
}

func (e *editFlags) register(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&e.replaceAll, "replace-all", false, "delete rows that FILE lacks; else they stay as they are")
	cmd.Flags().StringArrayVar(&e.deletes, "delete", nil, "delete a row, routes/NAME or pools/NAME (repeatable)")
}

func (a *app) applyCommand() *cobra.Command {
	var e editFlags
	cmd := &cobra.Command{
		Use:   "apply [FILE]",
		Short: "Publish a change of the tables and tell how it was decided",
		Long: `Publish the difference between FILE and the tables in force as one change. It holds whole or not
at all. If another change has moved a row in the meantime, it is rejected and the row, the author
and the remedy are printed (exit code 3). A FILE that was made with "ibisctl get -o json" names its
revision: a row that was changed since then is a conflict too.`,
		Example: `  ibisctl apply tables.json --wait
  ibisctl apply --delete routes/menu --note "season is over"
  ibisctl apply all.json --replace-all`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				e.file = args[0]
			}
			return a.apply(cmd.Context(), &e)
		},
	}
	e.register(cmd)
	cmd.Flags().StringVar(&e.author, "author", defaultAuthor(), "name that the history and losers of a race are shown")
	cmd.Flags().StringVar(&e.note, "note", "", "why, for the history")
	cmd.Flags().StringVar(&e.changeID, "change-id", "", "ID of an earlier try: it is decided once, however often it is sent (default: a new one)")
	cmd.Flags().BoolVar(&e.wait, "wait", false, "wait until every node has the change in force")
	return cmd
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "operator"
}

func (a *app) apply(ctx context.Context, e *editFlags) error {
	return a.withChange(ctx, e, func(ctx context.Context, c *client, now *config.Snapshot, change *config.Change) error {
		if len(change.Edits) == 0 {
			return a.unchanged(ctx, c, e, now.Revision)
		}
		again := "send it again with --change-id " + change.ID + ", which has no second effect"
		decision, err := c.publish(ctx, *change, again)
		if err != nil {
			return err
		}
		return a.report(ctx, c, e, decision)
	})
}

// withChange calls do with the tables in force and the change that the flags make to them.
func (a *app) withChange(ctx context.Context, e *editFlags, do func(context.Context, *client, *config.Snapshot, *config.Change) error) error {
	doc, err := e.load()
	if err != nil {
		return err
	}
	ctx, c, done, err := a.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	got, err := c.get(ctx)
	if err != nil {
		return err
	}
	change, err := e.change(got.Snapshot, doc)
	if err != nil {
		return err
	}
	return do(ctx, c, &got.Snapshot, &change)
}

// load reads FILE, if there is one.
func (e *editFlags) load() (*config.Document, error) {
	if e.file == "" {
		if len(e.deletes) == 0 || e.replaceAll {
			return nil, usageErrorf("name a file with tables, or rows with --delete", "nothing to apply")
		}
		return &config.Document{}, nil
	}
	data, err := os.ReadFile(e.file)
	if err != nil {
		return nil, &Error{Exit: ExitUsage, Message: "apply", Err: err, Remedy: "name a readable file"}
	}
	doc, problems := config.ParseRows(data)
	if len(problems) > 0 {
		return nil, invalid(e.file, problems)
	}
	return doc, nil
}

// change returns the edits that doc makes to the tables in force.
func (e *editFlags) change(now config.Snapshot, doc *config.Document) (config.Change, error) {
	if doc.Revision > now.Revision {
		return config.Change{}, &Error{Exit: ExitUnavailable, Message: fmt.Sprintf("the steward has revision %d, behind revision %d of %s", now.Revision, doc.Revision, e.file), Remedy: "wait, or name another steward with --server"}
	}
	next := doc.Tables
	if !e.replaceAll {
		next = config.Overlay(now.Tables, doc.Tables)
	}
	for _, key := range e.deletes {
		var err error
		if next, err = config.Without(next, config.RowKey(key)); err != nil {
			return config.Change{}, &Error{Exit: ExitUsage, Message: "--delete", Err: err, Remedy: "run `ibisctl get` for the rows in force"}
		}
	}
	if problems := config.Validate(&next); len(problems) > 0 {
		return config.Change{}, invalid(e.file, relocate(problems, &next, &doc.Tables))
	}
	change := config.Diff(now, next, e.author)
	change.Note, change.ID = e.note, e.changeID
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if conflicts := config.MovedSince(now, doc.Revision, change); doc.Revision != 0 && len(conflicts) > 0 {
		return change, conflictError(conflicts)
	}
	return change, nil
}

// publish sends the change until a steward tells how it was decided; again tells the operator how
// to go on if none does.
func (c *client) publish(ctx context.Context, change config.Change, again string) (*config.Decision, error) {
	if err := checkSize(&change); err != nil {
		return nil, err
	}
	var r wire.ApplyResult
	params := wire.ApplyParams{OperatorParams: c.auth(), Change: change, TimeoutMs: c.share().Milliseconds() * 9 / 10}
	err := c.call(ctx, wire.MethodApply, params, &r)
	var e *Error
	if errors.As(err, &e) && (e.Exit == ExitUnavailable || e.Exit == ExitTimeout) {
		e.Message = fmt.Sprintf("the change %s was not seen to be decided: %s", change.ID, e.Message)
		e.Remedy = "it may still come in force: look with `ibisctl history`, or " + again
	}
	if err != nil {
		return nil, err
	}
	return &r.Decision, nil
}

// maxChangeBytes bounds the encoded edits of one change, so that its message passes a steward.
const maxChangeBytes = rpc.MaxStrangerMessageBytes - 4<<10

func checkSize(c *config.Change) error {
	const remedy = "apply the rows in several files"
	if len(c.Edits) > config.MaxEdits {
		return usageErrorf(remedy, "the change edits %d rows, above %d", len(c.Edits), config.MaxEdits)
	}
	rec, err := config.EncodeChange(*c)
	if err != nil {
		return &Error{Exit: ExitFailure, Message: "apply", Err: err}
	}
	if len(rec.Data) > maxChangeBytes {
		return usageErrorf(remedy, "the change has %d bytes, above %d", len(rec.Data), maxChangeBytes)
	}
	return nil
}

func (a *app) unchanged(ctx context.Context, c *client, e *editFlags, revision trial.Offset) error {
	if a.output == outputText {
		fmt.Fprintf(a.out, "no change: the tables in force at revision %d have these rows already\n", revision)
	} else if err := a.printJSON(config.Decision{Offset: revision, Accepted: true}); err != nil {
		return err
	}
	if !e.wait {
		return nil
	}
	return a.watchUntil(ctx, c, revision)
}

// report prints a decision and turns a rejection into an error.
func (a *app) report(ctx context.Context, c *client, e *editFlags, d *config.Decision) error {
	if a.output == outputJSON {
		if err := a.printJSON(d); err != nil {
			return err
		}
	} else if d.Accepted {
		fmt.Fprintf(a.out, "accepted: change %s is revision %d\n", d.Change.ID, d.Offset)
		for i := range d.Change.Edits {
			fmt.Fprintf(a.out, "  %s\n", describeEdit(&d.Change.Edits[i]))
		}
	}
	switch {
	case d.Accepted && e.wait:
		return a.watchUntil(ctx, c, d.Offset)
	case d.Accepted:
		return nil
	case len(d.Conflicts) > 0:
		return conflictError(d.Conflicts)
	}
	return &Error{Exit: ExitConflict, Message: "rejected at read-back, nothing was changed", Err: invalid("", d.Problems), Remedy: "another change came first; run apply again to see the tables in force"}
}

func describeEdit(e *config.Edit) string {
	switch {
	case e.Delete:
		return "deleted " + string(e.Key)
	case e.Replaces == 0:
		return "added " + string(e.Key)
	}
	return fmt.Sprintf("changed %s (was revision %d)", e.Key, e.Replaces)
}
