package ctl

import (
	"context"
	"fmt"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/spf13/cobra"
)

func (a *app) historyCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "Print the latest decided changes, newest last",
		Example: `  ibisctl history --limit 5 -o json`,
		Args:    cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, c *client, _ []string) error {
			var r wire.HistoryResult
			if err := c.call(ctx, wire.MethodHistory, wire.HistoryParams{OperatorParams: c.auth(), Limit: limit}, &r); err != nil {
				return err
			}
			return a.printHistory(r.Decisions)
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "maximum number of changes")
	return cmd
}

func (a *app) printHistory(decisions []config.Decision) error {
	if a.format == formatJSON {
		return a.printJSON(decisions)
	}
	var rows [][]string
	for i := range decisions {
		d := &decisions[i]
		verdict := "accepted"
		if !d.Accepted {
			verdict = "rejected"
		}
		rows = append(rows, []string{fmt.Sprint(d.Offset), verdict, orDash(d.Change.Author), d.Change.ID, editKeys(&d.Change), orDash(d.Change.Note)})
	}
	a.printTable([]string{"REVISION", "VERDICT", "BY", "CHANGE", "ROWS", "NOTE"}, rows)
	return nil
}

func editKeys(c *config.Change) string {
	s := ""
	for i := range c.Edits {
		if i > 0 {
			s += ","
		}
		s += string(c.Edits[i].Key)
	}
	return orDash(s)
}
