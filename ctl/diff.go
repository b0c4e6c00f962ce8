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
	return a.withChange(ctx, e, func(_ context.Context, _ *client, current *config.Snapshot, change *config.Change) error {
		if a.format == formatJSON {
			return a.printJSON(change)
		}
		a.printChange(current, change)
		return nil
	})
}

// printChange prints each edited row, and the fields that differ if the row is in the old tables.
func (a *app) printChange(old *config.Snapshot, c *config.Change) {
	if len(c.Edits) == 0 {
		fmt.Fprintln(a.out, "no change")
	}
	for i := range c.Edits {
		e := &c.Edits[i]
		switch {
		case e.Delete:
			fmt.Fprintf(a.out, "- %s\n", e.Key)
		case findRow(&old.Tables, e.Key) == nil:
			fmt.Fprintf(a.out, "+ %s\n", e.Key)
		default:
			fmt.Fprintf(a.out, "~ %s\n", e.Key)
			a.printFields(findRow(&old.Tables, e.Key), editedRow(e))
		}
	}
}

// findRow returns the route or pool with the given key, or nil.
func findRow(t *config.Tables, key config.RowKey) any {
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

func (a *app) printFields(oldRow, newRow any) {
	oldFields, newFields := jsonFields(oldRow), jsonFields(newRow)
	names := make([]string, 0, len(oldFields)+len(newFields))
	for n := range oldFields {
		names = append(names, n)
	}
	for n := range newFields {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		if !reflect.DeepEqual(oldFields[n], newFields[n]) {
			fmt.Fprintf(a.out, "    %s: %s -> %s\n", n, orDash(string(oldFields[n])), orDash(string(newFields[n])))
		}
	}
}

// jsonFields returns the encoded value of each field of row.
func jsonFields(row any) map[string]json.RawMessage {
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
