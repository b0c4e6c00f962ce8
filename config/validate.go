package config

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/ibistrail/ibistrail/schema"
	"github.com/ibistrail/ibistrail/trial"
)

// Schema is the JSON Schema of Tables.
//
//go:embed tables.schema.json
var Schema []byte

const schemaName = "tables.schema.json"

var (
	tablesChecker = schema.Must(schema.New(schemaName, Schema, ""))
	routeChecker  = schema.Must(schema.New(schemaName, Schema, "#/$defs/route"))
	poolChecker   = schema.Must(schema.New(schemaName, Schema, "#/$defs/pool"))
)

// ParseTables decodes a document with both tables and checks all rules. The tables are nil if
// there are problems.
func ParseTables(data []byte) (*Tables, []Problem) {
	d, problems := ParseRows(data)
	if len(problems) > 0 {
		return nil, problems
	}
	if p := validateJoins(&d.Tables); len(p) > 0 {
		return nil, p
	}
	return &d.Tables, nil
}

// Document is a file with tables, or some rows of them.
type Document struct {
	Tables
	// Revision is the revision of the tables that the file was made from; 0 means not known.
	Revision trial.Offset `json:"revision,omitempty"`
}

// ParseRows decodes a document and checks each row alone: what rows say of rows that the document
// lacks cannot be told. The document is nil if there are problems.
func ParseRows(data []byte) (*Document, []Problem) {
	if p := tablesChecker.Check(data); len(p) > 0 {
		return nil, p
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, []Problem{{Message: err.Error(), Remedy: "write the tables as the schema describes them"}}
	}
	return &d, nil
}

// Validate returns the rules that the tables violate, none if they are valid.
func Validate(t *Tables) []Problem {
	n := Tables{Routes: slices.Clone(t.Routes), Pools: slices.Clone(t.Pools)}
	if n.Routes == nil {
		n.Routes = []Route{}
	}
	if n.Pools == nil {
		n.Pools = []Pool{}
	}
	for i := range n.Routes {
		n.Routes[i] = normalRoute(n.Routes[i])
	}
	for i := range n.Pools {
		n.Pools[i] = normalPool(n.Pools[i])
	}
	if p := check(tablesChecker, n, ""); len(p) > 0 {
		return p
	}
	return validateJoins(&n)
}

// validateRows checks the rows that edits bring, each alone.
func validateRows(edits []Edit) []Problem {
	var out []Problem
	for i := range edits {
		prefix := "/" + string(edits[i].Key)
		if r := edits[i].Route; r != nil {
			out = append(out, check(routeChecker, normalRoute(*r), prefix)...)
		}
		if p := edits[i].Pool; p != nil {
			out = append(out, check(poolChecker, normalPool(*p), prefix)...)
		}
	}
	return out
}

func check(c *schema.Checker, v any, prefix string) []Problem {
	doc, err := schema.Value(v)
	if err != nil {
		return []Problem{{Path: prefix, Message: err.Error(), Remedy: "write values that JSON can hold"}}
	}
	problems := c.CheckValue(doc)
	for i := range problems {
		problems[i].Path = prefix + problems[i].Path
	}
	return problems
}

// validation collects the problems of joined tables whose rows have the right form.
type validation struct {
	t        *Tables
	pools    map[string]*Pool
	problems []Problem
}

// validateJoins checks what rows say of each other, and fields that exclude each other.
func validateJoins(t *Tables) []Problem {
	v := &validation{t: t, pools: make(map[string]*Pool, len(t.Pools))}
	v.checkPools()
	v.checkRoutes()
	v.checkTokens()
	v.checkOverlaps()
	return v.problems[:min(len(v.problems), schema.MaxProblems)]
}

func (v *validation) add(path, remedy, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func rowPath(table string, i int, field ...string) string {
	return schema.Pointer(append([]string{table, strconv.Itoa(i)}, field...)...)
}
