package process_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// sources calls visit with each call in the sources of the daemons' packages.
func sources(t *testing.T, visit func(file string, call *ast.CallExpr, name string, receiver string)) {
	t.Helper()
	skip := map[string]bool{"fake": true, "load": true, "client": true, "ctl": true, ".git": true, "run": true}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && skip[d.Name()] {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if sel, ok := call.Fun.(*ast.SelectorExpr); ok {
				visit(path, call, sel.Sel.Name, lastName(sel.X))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// lastName returns the last name of an expression such as s.opts.Log or m.SubMap("x").
func lastName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.CallExpr:
		return lastName(e.Fun)
	}
	return ""
}

// literal returns an argument that is a string literal.
func literal(call *ast.CallExpr, i int) (string, bool) {
	if i >= len(call.Args) {
		return "", false
	}
	lit, ok := call.Args[i].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}

func page(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestOperationsPageNamesEachLogEvent keeps the page and the daemons' logs together.
func TestOperationsPageNamesEachLogEvent(t *testing.T) {
	doc := page(t)
	event := regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	sources(t, func(file string, call *ast.CallExpr, name, receiver string) {
		switch name {
		case "Debug", "Info", "Warn", "Error", "note":
		default:
			return
		}
		msg, ok := literal(call, 0)
		if !ok || name != "note" && !strings.HasPrefix(strings.ToLower(receiver), "log") {
			return
		}
		if !event.MatchString(msg) {
			t.Errorf("%s: event %q is no name of lower-case words joined by _", file, msg)
		}
		if !strings.Contains(doc, "| `"+msg+"` |") {
			t.Errorf("%s: docs/OPERATIONS.md does not name the event `%s`", file, msg)
		}
	})
}

// TestOperationsPageNamesEachMetric keeps the page and the daemons' metrics together.
func TestOperationsPageNamesEachMetric(t *testing.T) {
	doc := page(t)
	sources(t, func(file string, call *ast.CallExpr, name, receiver string) {
		metric, ok := literal(call, 0)
		isMetric := name == "SubMap" || name == "Latency" || (name == "Add" && strings.EqualFold(receiver, "metrics"))
		if ok && isMetric && !strings.Contains(doc, "`"+metric+"`") {
			t.Errorf("%s: docs/OPERATIONS.md does not name the metric `%s`", file, metric)
		}
	})
}
