// Package schema checks JSON documents against an embedded JSON Schema. It reports each problem with
// its path and a remedy, which comes from the descriptions in the schema.
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

// MaxDocumentBytes is the maximum size of a checked document.
const MaxDocumentBytes = 16 << 20

// MaxDepth is the maximum nesting depth of a checked document.
const MaxDepth = 64

// MaxProblems is the maximum number of problems that one check reports.
const MaxProblems = 100

// Problem is a violated rule of a document.
type Problem struct {
	// Path is a JSON pointer to the value; it is empty for the whole document.
	Path    string `json:"path"`
	Message string `json:"message"`
	// Remedy says what to do about the problem.
	Remedy string `json:"remedy"`
}

// String returns the path, the message and the remedy in one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "(document)"
	}
	return fmt.Sprintf("%s: %s; %s", path, p.Message, p.Remedy)
}

// Error reports the problems of a document.
type Error struct {
	// File is the document's name, if it has one.
	File     string
	Problems []Problem
}

// Error returns the problems, one per line.
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

// New compiles the JSON Schema raw, whose URL is name. A fragment such as "#/$defs/pool" selects a part
// of the schema; an empty one selects all of it.
func New(name string, raw []byte, fragment string) (*Checker, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	for _, f := range customFormats {
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

// Must returns c, or panics if err is not nil. It is meant for schemas embedded in the program.
func Must(c *Checker, err error) *Checker {
	if err != nil {
		panic(err)
	}
	return c
}

// Check returns the problems of the JSON document data, or none if it satisfies the schema. If data
// has a syntax error or a duplicate field, that is the only problem.
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

// CheckValue returns the problems of a decoded document, at most MaxProblems, sorted by path. Numbers
// in doc must be json.Number.
func (c *Checker) CheckValue(doc any) []Problem {
	err := c.schema.Validate(doc)
	if err == nil {
		return nil
	}
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return []Problem{{Message: err.Error(), Remedy: "write the document as the schema describes it"}}
	}
	problems := c.appendProblems(ve, nil)
	slices.SortStableFunc(problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return problems[:min(len(problems), MaxProblems)]
}

// DocumentOf returns the JSON encoding of v as a decoded document for CheckValue.
func DocumentOf(v any) (any, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("schema: encode: %w", err)
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(raw))
}

// CheckSyntax returns the first syntax error of data, with line and column, or the first duplicate
// field of an object. It also rejects documents above MaxDocumentBytes or MaxDepth.
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
		err = errors.New("unexpected data after the document")
	}
	var duplicate *duplicateFieldError
	if errors.As(err, &duplicate) {
		return &Problem{Path: duplicate.path, Message: "duplicate field", Remedy: "remove one of the two"}
	}
	line, column := lineAndColumn(data, d.InputOffset())
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Problem{Message: fmt.Sprintf("not JSON at line %d, column %d: %v", line, column, err), Remedy: "mend the syntax there"}
}

func lineAndColumn(data []byte, at int64) (line, column int) {
	before := data[:min(int64(len(data)), at)]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

// duplicateFieldError reports a field that an object has twice; path is its JSON pointer.
type duplicateFieldError struct{ path string }

func (e *duplicateFieldError) Error() string { return "field " + e.path + " occurs twice" }

var errTooDeep = fmt.Errorf("nested deeper than %d", MaxDepth)

// scanValue reads one JSON value from d; path is its JSON pointer, for errors.
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
		field := path + "/" + escapeToken(name)
		if seen[name] {
			return &duplicateFieldError{path: field}
		}
		seen[name] = true
		if err := scanValue(d, field, depth+1); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// Pointer returns the JSON pointer with the given reference tokens.
func Pointer(tokens ...string) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString("/" + escapeToken(t))
	}
	return b.String()
}

var escaper = strings.NewReplacer("~", "~0", "/", "~1")

func escapeToken(token string) string { return escaper.Replace(token) }
