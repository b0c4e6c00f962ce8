package ctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/ibistrail/ibistrail/config"
	"github.com/spf13/cobra"
)

func (a *app) getCommand() *cobra.Command {
	var snapshot bool
	cmd := &cobra.Command{
		Use:   "get [routes|pools [NAME]]",
		Short: "Print the tables in force",
		Long: `Print the tables in force, one table or one row. With -o json the output is a document for
apply, with the revision of the tables that it was made from.`,
		Example: `  ibisctl get pools
  ibisctl get pools drafting-models -o json > pool.json`,
		Args:      cobra.MaximumNArgs(2),
		ValidArgs: []string{"routes", "pools"},
		RunE: a.runWithClient(func(ctx context.Context, c *client, args []string) error {
			return a.get(ctx, c, args, snapshot)
		}),
	}
	cmd.Flags().BoolVar(&snapshot, "snapshot", false, "print the whole state as JSON, with the revision and author of each row")
	return cmd
}

func (a *app) get(ctx context.Context, c *client, args []string, snapshot bool) error {
	r, err := c.get(ctx)
	if err != nil {
		return err
	}
	if snapshot {
		return a.printJSON(r.Snapshot)
	}
	t, err := selectRows(r.Snapshot.Tables, args)
	if err != nil {
		return err
	}
	if a.format == formatJSON {
		return a.printJSON(config.Document{Tables: t, Revision: r.Snapshot.Revision})
	}
	a.printTables(&r.Snapshot, &t, args)
	return nil
}

// selectRows returns the rows that the arguments select: all, those of a table, or one row of a table.
func selectRows(t config.Tables, args []string) (config.Tables, error) {
	selected := config.Tables{Routes: []config.Route{}, Pools: []config.Pool{}}
	if len(args) == 0 {
		selected.Routes, selected.Pools = append(selected.Routes, t.Routes...), append(selected.Pools, t.Pools...)
		return selected, nil
	}
	switch args[0] {
	case "routes":
		selected.Routes = append(selected.Routes, t.Routes...)
	case "pools":
		selected.Pools = append(selected.Pools, t.Pools...)
	default:
		return selected, usageErrorf("specify routes or pools", "there is no table %q", args[0])
	}
	if len(args) == 1 {
		return selected, nil
	}
	row := config.Tables{Routes: []config.Route{}, Pools: []config.Pool{}}
	if r := selected.Route(args[1]); r != nil {
		row.Routes = append(row.Routes, *r)
		return row, nil
	}
	if p := selected.Pool(args[1]); p != nil {
		row.Pools = append(row.Pools, *p)
		return row, nil
	}
	return row, usageErrorf("run `ibisctl get "+args[0]+"` for the names in force", "there is no row %s/%s", args[0], args[1])
}

func (a *app) printTables(s *config.Snapshot, t *config.Tables, args []string) {
	fmt.Fprintf(a.out, "revision %d\n", s.Revision)
	if len(args) == 0 || args[0] == "routes" {
		a.printRoutes(s, t.Routes)
	}
	if len(args) == 0 || args[0] == "pools" {
		a.printPools(s, t.Pools)
	}
	if len(args) == 2 {
		a.printTargets(t.Pools)
	}
}

func (a *app) printRoutes(s *config.Snapshot, routes []config.Route) {
	var rows [][]string
	for i := range routes {
		r := &routes[i]
		info := s.Rows[config.RouteKey(r.Name)]
		match := r.Model
		if r.Kind == config.RouteHTTP {
			match = r.PathPrefix
		}
		rows = append(rows, []string{r.Name, string(r.Kind), r.Customer, orDash(match), r.Pool, strconv.Itoa(int(r.Priority)),
			strconv.Itoa(len(r.Callers)), fmt.Sprint(r.TimeoutMs), fmt.Sprint(info.Revision), orDash(info.Author)})
	}
	a.printTable([]string{"ROUTE", "KIND", "CUSTOMER", "MATCH", "POOL", "PRIORITY", "CALLERS", "TIMEOUT_MS", "REVISION", "BY"}, rows)
}

func (a *app) printPools(s *config.Snapshot, pools []config.Pool) {
	var rows [][]string
	for i := range pools {
		p := &pools[i]
		info := s.Rows[config.PoolKey(p.Name)]
		draining := 0
		for j := range p.Targets {
			if p.Targets[j].Draining {
				draining++
			}
		}
		rows = append(rows, []string{p.Name, string(p.Kind), orDash(p.Model), weightsText(p.Weights), strconv.Itoa(len(p.Targets)),
			strconv.Itoa(draining), fmt.Sprint(info.Revision), orDash(info.Author)})
	}
	a.printTable([]string{"POOL", "KIND", "MODEL", "WEIGHTS", "TARGETS", "DRAINING", "REVISION", "BY"}, rows)
}

func (a *app) printTargets(pools []config.Pool) {
	for i := range pools {
		var rows [][]string
		for _, t := range pools[i].Targets {
			rows = append(rows, []string{t.Name, t.Address, t.AvailabilityZone, strconv.FormatBool(t.Draining)})
		}
		a.printTable([]string{"TARGET", "ADDRESS", "AZ", "DRAINING"}, rows)
	}
}

func weightsText(w *config.Weights) string {
	switch {
	case w == nil:
		return "-"
	case w.Follow:
		return fmt.Sprintf("follow floor=%d%%", w.ServingFloorPercent)
	}
	return fmt.Sprintf("version=%d floor=%d%%", w.Version, w.ServingFloorPercent)
}
