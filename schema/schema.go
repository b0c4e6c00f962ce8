// Package schema checks JSON documents against an embedded JSON Schema and reports each problem
// with its place and its remedy, which it takes from the descriptions in the schema.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// MaxDocumentBytes bounds a checked document.
const MaxDocumentBytes = 16 << 20

// MaxDepth bounds how deep a checked document is nested.
const MaxDepth = 64

// MaxProblems bounds the problems that one check reports.
const MaxProblems = 100

// Problem is a violated rule of a document, with its place and remedy.
type Problem struct {
	// Path is a JSON pointer into the document.
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "(document)"
	}
	return fmt.Sprintf("%s: %s; %s", path, p.Message, p.Remedy)
}

// Error is a document's problems.
type Error struct {
	// File is the document's name, if it has one.
	File     string
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
		if e.File != "" {
			lines[i] = e.File + ": " + lines[i]
		}
	}
	return strings.Join(lines, "\n")
}

// Checker checks documents against one schema. It is safe for concurrent use.
type Checker struct {
	schema *jsonschema.Schema
}

// New compiles the JSON Schema raw, which has the URL name; fragment selects a part of it, such
// as "#/$defs/pool", or all of it if it is empty.
func New(name string, raw []byte, fragment string) (*Checker, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	for _, f := range formats {
		c.RegisterFormat(f)
	}
	if err := c.AddResource(name, doc); err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	s, err := c.Compile(name + fragment)
	if err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	return &Checker{schema: s}, nil
}

// Must returns the checker or panics; it is for schemas that are embedded in the program.
func Must(c *Checker, err error) *Checker {
	if err != nil {
		panic(err)
	}
	return c
}

// Check returns the problems of data, none if it fits the schema.
func (c *Checker) Check(data []byte) []Problem {
	if p := CheckSyntax(data); p != nil {
		return []Problem{*p}
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Problem{{Message: err.Error(), Remedy: "write one JSON document"}}
	}
	return c.CheckValue(doc)
}

// CheckValue returns the problems of a decoded document, whose numbers are json.Number.
func (c *Checker) CheckValue(doc any) []Problem {
	err := c.schema.Validate(doc)
	if err == nil {
		return nil
	}
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return []Problem{{Message: err.Error(), Remedy: "write the document as the schema describes it"}}
	}
	problems := c.collect(ve, nil)
	slices.SortStableFunc(problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return problems[:min(len(problems), MaxProblems)]
}

// Value returns the document that encoding v gives, for CheckValue.
func Value(v any) (any, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("schema: encode: %w", err)
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(raw))
}

// CheckSyntax finds syntax errors, with line and column, and fields that stand twice in an object.
func CheckSyntax(data []byte) *Problem {
	if len(data) > MaxDocumentBytes {
		return &Problem{Message: fmt.Sprintf("document has %d bytes", len(data)), Remedy: fmt.Sprintf("keep it within %d bytes", MaxDocumentBytes)}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	err := scanValue(d, "", 0)
	if err == nil {
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("more follows after the document")
	}
	var twice *repeatedField
	if errors.As(err, &twice) {
		return &Problem{Path: twice.path, Message: "the field stands twice", Remedy: "remove one of the two"}
	}
	line, column := position(data, d.InputOffset())
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Problem{Message: fmt.Sprintf("not JSON at line %d, column %d: %v", line, column, err), Remedy: "mend the syntax there"}
}

func position(data []byte, at int64) (line, column int) {
	before := data[:min(int64(len(data)), at)]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

// repeatedField is an object's field that stands twice.
type repeatedField struct{ path string }

func (r *repeatedField) Error() string { return "field " + r.path + " stands twice" }

// errTooDeep is a document that is nested deeper than MaxDepth.
var errTooDeep = fmt.Errorf("nested deeper than %d", MaxDepth)

func scanValue(d *json.Decoder, path string, depth int) error {
	if depth > MaxDepth {
		return errTooDeep
	}
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		return scanObject(d, path, depth)
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if err := scanValue(d, fmt.Sprintf("%s/%d", path, i), depth+1); err != nil {
				return err
			}
		}
		_, err = d.Token()
	}
	return err
}

func scanObject(d *json.Decoder, path string, depth int) error {
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		field := path + "/" + escape(name)
		if seen[name] {
			return &repeatedField{path: field}
		}
		seen[name] = true
		if err := scanValue(d, field, depth+1); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// Pointer returns the JSON pointer of tokens.
func Pointer(tokens ...string) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString("/" + escape(t))
	}
	return b.String()
}

var escaper = strings.NewReplacer("~", "~0", "/", "~1")

func escape(token string) string { return escaper.Replace(token) }
