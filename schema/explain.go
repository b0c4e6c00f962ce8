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

// collect turns the leaves of a validation error into problems.
func (c *Checker) collect(e *jsonschema.ValidationError, out []Problem) []Problem {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			out = c.collect(cause, out)
		}
		return out
	}
	at := c.at(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			out = append(out, Problem{
				Path:    Pointer(append(slices.Clone(e.InstanceLocation), name)...),
				Message: fmt.Sprintf("unknown field %q", name),
				Remedy:  unknownRemedy(at, name),
			})
		}
	case *kind.Required:
		for _, name := range k.Missing {
			out = append(out, Problem{
				Path:    Pointer(e.InstanceLocation...),
				Message: fmt.Sprintf("field %q is missing", name),
				Remedy:  "add it: " + describe(property(at, name)),
			})
		}
	default:
		out = append(out, Problem{Path: Pointer(e.InstanceLocation...), Message: messageOf(e.ErrorKind, isSecret(e.InstanceLocation)), Remedy: "write " + describe(at)})
	}
	return out
}

// isSecret tells whether a field's wrong value may be a token, which must not be repeated.
func isSecret(location []string) bool {
	return len(location) > 0 && strings.Contains(location[len(location)-1], "token")
}

func messageOf(k jsonschema.ErrorKind, secret bool) string {
	switch k := k.(type) {
	case *kind.Type:
		return fmt.Sprintf("value is %s, not %s", article(k.Got), strings.Join(k.Want, " or "))
	case *kind.Enum:
		return fmt.Sprintf("value %v is not one of %s", quote(k.Got), list(k.Want))
	case *kind.Pattern:
		if secret {
			return "value does not have the right form"
		}
		return fmt.Sprintf("value %q does not have the right form", k.Got)
	case *kind.Format:
		return fmt.Sprintf("value %s is not valid: %v", quote(k.Got), k.Err)
	case *kind.Minimum:
		return fmt.Sprintf("value %s is below %s", number(k.Got), number(k.Want))
	case *kind.Maximum:
		return fmt.Sprintf("value %s is above %s", number(k.Got), number(k.Want))
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

// unknownRemedy suggests the field of s that name was probably meant to be.
func unknownRemedy(s *jsonschema.Schema, name string) string {
	if s == nil || len(s.Properties) == 0 {
		return "remove it"
	}
	names := make([]string, 0, len(s.Properties))
	for n := range s.Properties {
		names = append(names, n)
	}
	slices.Sort(names)
	best, score := "", 0
	for _, n := range names {
		if k := likeness(n, name); k > score {
			best, score = n, k
		}
	}
	if 2*score >= len(name) && score >= 3 {
		return fmt.Sprintf("remove it or write %q: %s", best, describe(s.Properties[best]))
	}
	return "remove it; known fields are " + strings.Join(names, ", ")
}

// likeness is the length of the longest common subsequence of a and b.
func likeness(a, b string) int {
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

// at returns the schema of the value at an instance location, or nil.
func (c *Checker) at(location []string) *jsonschema.Schema {
	s := resolve(c.schema)
	for _, token := range location {
		if s == nil {
			return nil
		}
		if p, ok := s.Properties[token]; ok {
			s = resolve(p)
			continue
		}
		items, _ := s.Items.(*jsonschema.Schema)
		if s.Items2020 != nil {
			items = s.Items2020
		}
		s = resolve(items)
	}
	return s
}

func resolve(s *jsonschema.Schema) *jsonschema.Schema {
	for s != nil && s.Ref != nil && s.Description == "" && len(s.Properties) == 0 {
		s = s.Ref
	}
	return s
}

func property(s *jsonschema.Schema, name string) *jsonschema.Schema {
	if s == nil {
		return nil
	}
	return resolve(s.Properties[name])
}

// describe returns a schema's description, which in our schemas says what to write.
func describe(s *jsonschema.Schema) string {
	if s = resolve(s); s == nil || s.Description == "" {
		return "a value as the schema describes it"
	}
	return s.Description
}

func number(r *big.Rat) string {
	if r.IsInt() {
		return r.Num().String()
	}
	f, _ := r.Float64()
	return fmt.Sprint(f)
}

func article(jsonType string) string {
	switch jsonType {
	case "null":
		return jsonType
	case "array", "object", "integer":
		return "an " + jsonType
	}
	return "a " + jsonType
}

func quote(v any) string {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(v)
}

func list(values []any) string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = quote(v)
	}
	return strings.Join(out, ", ")
}
