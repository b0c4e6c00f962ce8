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

// editFlags holds the flags that define a change.
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
	cmd.Flags().BoolVar(&e.replaceAll, "replace-all", false, "delete the rows that are not in FILE (default: keep them)")
	cmd.Flags().StringArrayVar(&e.deletes, "delete", nil, "delete a row, routes/NAME or pools/NAME (repeatable)")
}

func (a *app) applyCommand() *cobra.Command {
	var e editFlags
	cmd := &cobra.Command{
		Use:   "apply [FILE]",
		Short: "Publish a change of the tables and print the decision",
		Long: `Publish the difference between FILE and the tables in force as one atomic change. If another change
has modified one of its rows in the meantime, the change is rejected, and the row, the author of the
other change and the remedy are printed (exit code 3). A FILE made with "ibisctl get -o json"
contains its revision: a row that has changed since that revision is a conflict too.`,
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
	cmd.Flags().StringVar(&e.author, "author", defaultAuthor(), "author of the change, shown in the history and in conflicts")
	cmd.Flags().StringVar(&e.note, "note", "", "reason for the change, shown in the history")
	cmd.Flags().StringVar(&e.changeID, "change-id", "", "ID of an earlier attempt to send the change: a change is decided once per ID (default: a new ID)")
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
	return a.withChange(ctx, e, func(ctx context.Context, c *client, current *config.Snapshot, change *config.Change) error {
		if len(change.Edits) == 0 {
			return a.reportNoChange(ctx, c, e, current.Revision)
		}
		retryAdvice := "send it again with --change-id " + change.ID + ", which cannot apply it twice"
		decision, err := c.publish(ctx, *change, retryAdvice)
		if err != nil {
			return err
		}
		return a.reportDecision(ctx, c, e, decision)
	})
}

// withChange calls do with the tables in force and with the change to them that the flags define.
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
	current, err := c.get(ctx)
	if err != nil {
		return err
	}
	change, err := e.change(current.Snapshot, doc)
	if err != nil {
		return err
	}
	return do(ctx, c, &current.Snapshot, &change)
}

// load reads FILE. Without a FILE it returns an empty document if there are rows to delete, else an error.
func (e *editFlags) load() (*config.Document, error) {
	if e.file == "" {
		if len(e.deletes) == 0 || e.replaceAll {
			return nil, usageErrorf("specify a file with tables, or rows with --delete and without --replace-all", "no file is given")
		}
		return &config.Document{}, nil
	}
	data, err := os.ReadFile(e.file)
	if err != nil {
		return nil, &Error{Exit: ExitUsage, Message: "apply", Err: err, Remedy: "specify a readable file"}
	}
	doc, problems := config.ParseRows(data)
	if len(problems) > 0 {
		return nil, invalidTablesError(e.file, problems)
	}
	return doc, nil
}

// change returns the change that turns the tables in force into those of doc and the flags. Rows that
// changed after doc's revision are a conflict.
func (e *editFlags) change(current config.Snapshot, doc *config.Document) (config.Change, error) {
	if doc.Revision > current.Revision {
		return config.Change{}, &Error{Exit: ExitUnavailable, Message: fmt.Sprintf("the steward is at revision %d, behind revision %d of %s", current.Revision, doc.Revision, e.file), Remedy: "try again later, or specify another steward with --server"}
	}
	next := doc.Tables
	if !e.replaceAll {
		next = config.Overlay(current.Tables, doc.Tables)
	}
	for _, key := range e.deletes {
		var err error
		if next, err = config.WithoutRow(next, config.RowKey(key)); err != nil {
			return config.Change{}, &Error{Exit: ExitUsage, Message: "--delete", Err: err, Remedy: "run `ibisctl get` for the rows in force"}
		}
	}
	if problems := config.Validate(&next); len(problems) > 0 {
		return config.Change{}, invalidTablesError(e.file, relocate(problems, &next, &doc.Tables))
	}
	change := config.Diff(current, next, e.author)
	change.Note, change.ID = e.note, e.changeID
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if conflicts := config.ChangedSince(current, doc.Revision, change); doc.Revision != 0 && len(conflicts) > 0 {
		return change, conflictError(conflicts)
	}
	return change, nil
}

// publish sends the change until a steward returns the decision. If none does, retryAdvice becomes part
// of the error's remedy.
func (c *client) publish(ctx context.Context, change config.Change, retryAdvice string) (*config.Decision, error) {
	if err := checkSize(&change); err != nil {
		return nil, err
	}
	var r wire.ApplyResult
	params := wire.ApplyParams{OperatorParams: c.auth(), Change: change, TimeoutMs: c.timeoutPerServer().Milliseconds() * 9 / 10}
	err := c.call(ctx, wire.MethodApply, params, &r)
	var e *Error
	if errors.As(err, &e) && (e.Exit == ExitUnavailable || e.Exit == ExitTimeout) {
		e.Message = fmt.Sprintf("the outcome of change %s is unknown: %s", change.ID, e.Message)
		e.Remedy = "the change may still be accepted: check `ibisctl history`, or " + retryAdvice
	}
	if err != nil {
		return nil, err
	}
	return &r.Decision, nil
}

// maxChangeBytes is the limit for the encoded edits of one change. It leaves 4 KiB of the largest message
// that a steward accepts from ibisctl for the other fields.
const maxChangeBytes = rpc.MaxUnauthenticatedMessageBytes - 4<<10

func checkSize(c *config.Change) error {
	const remedy = "apply the rows in several files"
	if len(c.Edits) > config.MaxEdits {
		return usageErrorf(remedy, "the change edits %d rows, more than the limit of %d", len(c.Edits), config.MaxEdits)
	}
	rec, err := config.EncodeChange(*c)
	if err != nil {
		return &Error{Exit: ExitFailure, Message: "apply", Err: err}
	}
	if len(rec.Data) > maxChangeBytes {
		return usageErrorf(remedy, "the encoded change has %d bytes, more than the limit of %d", len(rec.Data), maxChangeBytes)
	}
	return nil
}

func (a *app) reportNoChange(ctx context.Context, c *client, e *editFlags, revision trial.Offset) error {
	if a.format == formatText {
		fmt.Fprintf(a.out, "no change: the tables in force at revision %d have these rows already\n", revision)
	} else if err := a.printJSON(config.Decision{Offset: revision, Accepted: true}); err != nil {
		return err
	}
	if !e.wait {
		return nil
	}
	return a.waitForRevision(ctx, c, revision)
}

// reportDecision prints a decision and returns an error if the change was rejected. With --wait it then
// waits until the revision is in force.
func (a *app) reportDecision(ctx context.Context, c *client, e *editFlags, d *config.Decision) error {
	if a.format == formatJSON {
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
		return a.waitForRevision(ctx, c, d.Offset)
	case d.Accepted:
		return nil
	case len(d.Conflicts) > 0:
		return conflictError(d.Conflicts)
	}
	return &Error{Exit: ExitConflict, Message: "the change was rejected when it was read back from the log", Err: invalidTablesError("", d.Problems), Remedy: "another change was decided first; run apply again on the new tables"}
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
