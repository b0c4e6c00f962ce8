package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/schema"
)

func invalidTablesError(file string, problems []config.Problem) error {
	return &Error{Exit: ExitUsage, Message: "the tables are invalid, nothing was changed", Err: &schema.Error{File: file, Problems: problems}}
}

// conflictError returns an error that names each conflicting row, the author of the other change and the remedy.
func conflictError(conflicts []config.Conflict) error {
	lines := make([]string, len(conflicts))
	for i, c := range conflicts {
		lines[i] = conflictLine(&c)
	}
	return &Error{Exit: ExitConflict, Message: "rejected, nothing was changed: " + strings.Join(lines, "\n")}
}

func conflictLine(c *config.Conflict) string {
	if c.CurrentRevision == 0 {
		return fmt.Sprintf("row %s: %s", c.Key, c.Remedy)
	}
	return fmt.Sprintf("row %s was changed by %s in revision %d: %s", c.Key, orDash(c.Author), c.CurrentRevision, c.Remedy)
}

// relocate rewrites the paths of problems in the merged tables to paths in file. A row that is only in the
// tables in force gets its name in place of an index.
func relocate(problems []config.Problem, merged, file *config.Tables) []config.Problem {
	out := make([]config.Problem, len(problems))
	for i, p := range problems {
		parts := strings.SplitN(p.Path, "/", 4)
		if len(parts) >= 3 {
			if key, ok := rowAt(merged, parts[1], parts[2]); ok {
				parts[2] = indexOrName(file, key)
				p.Path = strings.Join(parts, "/")
			}
		}
		out[i] = p
	}
	return out
}

// rowAt returns the key of the row with the given table and index.
func rowAt(t *config.Tables, table, index string) (config.RowKey, bool) {
	i, err := strconv.Atoi(index)
	switch {
	case err != nil || i < 0:
		return "", false
	case table == "routes" && i < len(t.Routes):
		return config.RouteKey(t.Routes[i].Name), true
	case table == "pools" && i < len(t.Pools):
		return config.PoolKey(t.Pools[i].Name), true
	}
	return "", false
}

// indexOrName returns the index of a row in file, or its name if it is only in the tables in force.
func indexOrName(file *config.Tables, key config.RowKey) string {
	table, name := key.Split()
	for i := range file.Routes {
		if table == "routes" && file.Routes[i].Name == name {
			return strconv.Itoa(i)
		}
	}
	for i := range file.Pools {
		if table == "pools" && file.Pools[i].Name == name {
			return strconv.Itoa(i)
		}
	}
	return name
}
