package schema

import (
	"fmt"
	"math/big"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// appendProblems appends a problem for each leaf of the validation error e to out.
func (c *Checker) appendProblems(e *jsonschema.ValidationError, out []Problem) []Problem {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			out = c.appendProblems(cause, out)
		}
		return out
	}
	s := c.schemaAt(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			out = append(out, Problem{
				Path:    Pointer(append(slices.Clone(e.InstanceLocation), name)...),
				Message: fmt.Sprintf("unknown field %q", name),
				Remedy:  unknownFieldRemedy(s, name),
			})
		}
	case *kind.Required:
		for _, name := range k.Missing {
			out = append(out, Problem{
				Path:    Pointer(e.InstanceLocation...),
				Message: fmt.Sprintf("field %q is missing", name),
				Remedy:  "add it: " + describe(propertySchema(s, name)),
			})
		}
	default:
		out = append(out, Problem{Path: Pointer(e.InstanceLocation...), Message: errorMessage(e.ErrorKind, mayHoldToken(e.InstanceLocation)), Remedy: "write " + describe(s)})
	}
	return out
}

// mayHoldToken reports whether the value at location may be a secret token, which must not appear in a
// message.
func mayHoldToken(location []string) bool {
	return len(location) > 0 && strings.Contains(location[len(location)-1], "token")
}

func errorMessage(k jsonschema.ErrorKind, secret bool) string {
	switch k := k.(type) {
	case *kind.Type:
		return fmt.Sprintf("value is %s, not %s", withArticle(k.Got), strings.Join(k.Want, " or "))
	case *kind.Enum:
		return fmt.Sprintf("value %v is not one of %s", quoteString(k.Got), joinValues(k.Want))
	case *kind.Pattern:
		if secret {
			return "value does not have the right form"
		}
		return fmt.Sprintf("value %q does not have the right form", k.Got)
	case *kind.Format:
		return fmt.Sprintf("value %s is not valid: %v", quoteString(k.Got), k.Err)
	case *kind.Minimum:
		return fmt.Sprintf("value %s is below %s", formatNumber(k.Got), formatNumber(k.Want))
	case *kind.Maximum:
		return fmt.Sprintf("value %s is above %s", formatNumber(k.Got), formatNumber(k.Want))
	case *kind.MinLength:
		return "value is too short"
	case *kind.MaxLength:
		return fmt.Sprintf("value has %d characters, above %d", k.Got, k.Want)
	case *kind.MinItems:
		return fmt.Sprintf("list has %d entries, below %d", k.Got, k.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("list has %d entries, above %d", k.Got, k.Want)
	}
	return k.LocalizedString(message.NewPrinter(language.English))
}

// unknownFieldRemedy returns the remedy for an unknown field: it suggests the most similar field of s,
// if there is one, or lists the known fields.
func unknownFieldRemedy(s *jsonschema.Schema, name string) string {
	if s == nil || len(s.Properties) == 0 {
		return "remove it"
	}
	names := make([]string, 0, len(s.Properties))
	for n := range s.Properties {
		names = append(names, n)
	}
	slices.Sort(names)
	best, bestLength := "", 0
	for _, n := range names {
		if length := commonSubsequenceLen(n, name); length > bestLength {
			best, bestLength = n, length
		}
	}
	if 2*bestLength >= len(name) && bestLength >= 3 {
		return fmt.Sprintf("remove it or write %q: %s", best, describe(s.Properties[best]))
	}
	return "remove it; known fields are " + strings.Join(names, ", ")
}

// commonSubsequenceLen returns the length of the longest common subsequence of a and b, in bytes.
func commonSubsequenceLen(a, b string) int {
	row := make([]int, len(b)+1)
	for i := range len(a) {
		diagonal := 0
		for j := range len(b) {
			above := row[j+1]
			if a[i] == b[j] {
				row[j+1] = diagonal + 1
			} else {
				row[j+1] = max(row[j], above)
			}
			diagonal = above
		}
	}
	return row[len(b)]
}

// schemaAt returns the schema of the value at an instance location, or nil if there is none.
func (c *Checker) schemaAt(location []string) *jsonschema.Schema {
	s := resolveRef(c.schema)
	for _, token := range location {
		if s == nil {
			return nil
		}
		if p, ok := s.Properties[token]; ok {
			s = resolveRef(p)
			continue
		}
		items, _ := s.Items.(*jsonschema.Schema)
		if s.Items2020 != nil {
			items = s.Items2020
		}
		s = resolveRef(items)
	}
	return s
}

// resolveRef follows references from a schema that has no description and no properties of its own.
func resolveRef(s *jsonschema.Schema) *jsonschema.Schema {
	for s != nil && s.Ref != nil && s.Description == "" && len(s.Properties) == 0 {
		s = s.Ref
	}
	return s
}

func propertySchema(s *jsonschema.Schema, name string) *jsonschema.Schema {
	if s == nil {
		return nil
	}
	return resolveRef(s.Properties[name])
}

// describe returns the description of s. In our schemas it says which value to write.
func describe(s *jsonschema.Schema) string {
	if s = resolveRef(s); s == nil || s.Description == "" {
		return "a value as the schema describes it"
	}
	return s.Description
}

func formatNumber(r *big.Rat) string {
	if r.IsInt() {
		return r.Num().String()
	}
	f, _ := r.Float64()
	return fmt.Sprint(f)
}

func withArticle(jsonType string) string {
	switch jsonType {
	case "null":
		return jsonType
	case "array", "object", "integer":
		return "an " + jsonType
	}
	return "a " + jsonType
}

func quoteString(v any) string {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(v)
}

func joinValues(values []any) string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = quoteString(v)
	}
	return strings.Join(out, ", ")
}
