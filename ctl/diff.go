package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/ibistrail/ibistrail/config"
	"github.com/spf13/cobra"
)

func (a *app) diffCommand() *cobra.Command {
	var e editFlags
	cmd := &cobra.Command{
		Use:     "diff FILE",
		Short:   "Print what apply would change",
		Example: `  ibisctl diff tables.json`,
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				e.file = args[0]
			}
			return a.diff(cmd.Context(), &e)
		},
	}
	e.register(cmd)
	return cmd
}

func (a *app) diff(ctx context.Context, e *editFlags) error {
	return a.withChange(ctx, e, func(_ context.Context, _ *client, now *config.Snapshot, change *config.Change) error {
		if a.output == outputJSON {
			return a.printJSON(change)
		}
		a.printChange(now, change)
		return nil
	})
}

// printChange prints each edited row with the fields that differ.
func (a *app) printChange(old *config.Snapshot, c *config.Change) {
	if len(c.Edits) == 0 {
		fmt.Fprintln(a.out, "no change")
	}
	for i := range c.Edits {
		e := &c.Edits[i]
		switch {
		case e.Delete:
			fmt.Fprintf(a.out, "- %s\n", e.Key)
		case rowOf(&old.Tables, e.Key) == nil:
			fmt.Fprintf(a.out, "+ %s\n", e.Key)
		default:
			fmt.Fprintf(a.out, "~ %s\n", e.Key)
			a.printFields(rowOf(&old.Tables, e.Key), editedRow(e))
		}
	}
}

func rowOf(t *config.Tables, key config.RowKey) any {
	table, name := key.Split()
	if r := t.Route(name); table == "routes" && r != nil {
		return r
	}
	if p := t.Pool(name); table == "pools" && p != nil {
		return p
	}
	return nil
}

func editedRow(e *config.Edit) any {
	if e.Route != nil {
		return e.Route
	}
	return e.Pool
}

func (a *app) printFields(old, new any) {
	was, is := fields(old), fields(new)
	names := make([]string, 0, len(was)+len(is))
	for n := range was {
		names = append(names, n)
	}
	for n := range is {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		if !reflect.DeepEqual(was[n], is[n]) {
			fmt.Fprintf(a.out, "    %s: %s -> %s\n", n, orDash(string(was[n])), orDash(string(is[n])))
		}
	}
}

func fields(row any) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	raw, err := json.Marshal(row)
	if err == nil {
		err = json.Unmarshal(raw, &out)
	}
	if err != nil {
		return nil
	}
	return out
}
