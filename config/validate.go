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

// ParseTables decodes a document with both tables and checks all rules. If there are problems, the
// returned tables are nil.
func ParseTables(data []byte) (*Tables, []Problem) {
	d, problems := ParseRows(data)
	if len(problems) > 0 {
		return nil, problems
	}
	if p := validateTables(&d.Tables); len(p) > 0 {
		return nil, p
	}
	return &d.Tables, nil
}

// Document is a file with all rows of the tables or only some of them.
type Document struct {
	Tables
	// Revision is the revision of the tables from which the file was made; 0 means not known.
	Revision trial.Offset `json:"revision,omitempty"`
}

// ParseRows decodes a document and checks each row by itself. It does not check rules between rows,
// since a row may refer to one that is not in the document. If there are problems, the returned
// document is nil.
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

// Validate returns the violated rules of the tables, or none if they are valid.
func Validate(t *Tables) []Problem {
	normalized := Tables{Routes: slices.Clone(t.Routes), Pools: slices.Clone(t.Pools)}
	if normalized.Routes == nil {
		normalized.Routes = []Route{}
	}
	if normalized.Pools == nil {
		normalized.Pools = []Pool{}
	}
	for i := range normalized.Routes {
		normalized.Routes[i] = normalRoute(normalized.Routes[i])
	}
	for i := range normalized.Pools {
		normalized.Pools[i] = normalPool(normalized.Pools[i])
	}
	if p := checkRow(tablesChecker, normalized, ""); len(p) > 0 {
		return p
	}
	return validateTables(&normalized)
}

// validateRows checks each row set by edits by itself, against the schema.
func validateRows(edits []Edit) []Problem {
	var out []Problem
	for i := range edits {
		prefix := "/" + string(edits[i].Key)
		if r := edits[i].Route; r != nil {
			out = append(out, checkRow(routeChecker, normalRoute(*r), prefix)...)
		}
		if p := edits[i].Pool; p != nil {
			out = append(out, checkRow(poolChecker, normalPool(*p), prefix)...)
		}
	}
	return out
}

// checkRow checks the JSON encoding of v; prefix is put before the path of each problem.
func checkRow(c *schema.Checker, v any, prefix string) []Problem {
	doc, err := schema.DocumentOf(v)
	if err != nil {
		return []Problem{{Path: prefix, Message: err.Error(), Remedy: "write values that JSON can hold"}}
	}
	problems := c.CheckValue(doc)
	for i := range problems {
		problems[i].Path = prefix + problems[i].Path
	}
	return problems
}

// validation collects the problems of tables whose rows satisfy the schema.
type validation struct {
	tables      *Tables
	poolsByName map[string]*Pool
	problems    []Problem
}

// validateTables checks the rules that the schema cannot express: references and conflicts between
// rows, and fields that exclude each other. The rows must satisfy the schema.
func validateTables(tables *Tables) []Problem {
	v := &validation{tables: tables, poolsByName: make(map[string]*Pool, len(tables.Pools))}
	v.checkPools()
	v.checkRoutes()
	v.checkTokens()
	v.checkOverlappingRoutes()
	return v.problems[:min(len(v.problems), schema.MaxProblems)]
}

func (v *validation) add(path, remedy, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func rowPath(table string, i int, field ...string) string {
	return schema.Pointer(append([]string{table, strconv.Itoa(i)}, field...)...)
}
