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

// forEachMethodCall calls visit with each method call and qualified call in the non-test sources of the daemons'
// packages, with the name of the function and the last identifier before it.
func forEachMethodCall(t *testing.T, visit func(file string, call *ast.CallExpr, name string, receiver string)) {
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
				visit(path, call, sel.Sel.Name, lastIdentifier(sel.X))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// lastIdentifier returns the last identifier of an expression such as s.opts.Log or m.SubMap("x").
func lastIdentifier(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.CallExpr:
		return lastIdentifier(e.Fun)
	}
	return ""
}

// stringLiteral returns the value of argument i and whether it is a string literal.
func stringLiteral(call *ast.CallExpr, i int) (string, bool) {
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

func readOperationsPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestOperationsPageNamesEachLogEvent checks that docs/OPERATIONS.md lists each log event of the daemons.
func TestOperationsPageNamesEachLogEvent(t *testing.T) {
	doc := readOperationsPage(t)
	event := regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	forEachMethodCall(t, func(file string, call *ast.CallExpr, name, receiver string) {
		switch name {
		case "Debug", "Info", "Warn", "Error", "logEvent":
		default:
			return
		}
		msg, ok := stringLiteral(call, 0)
		if !ok || name != "logEvent" && !strings.HasPrefix(strings.ToLower(receiver), "log") {
			return
		}
		if !event.MatchString(msg) {
			t.Errorf("%s: name of log event %q does not consist of lower-case words joined by _", file, msg)
		}
		if !strings.Contains(doc, "| `"+msg+"` |") {
			t.Errorf("%s: docs/OPERATIONS.md does not list the log event `%s`", file, msg)
		}
	})
}

// TestOperationsPageNamesEachMetric checks that docs/OPERATIONS.md lists each metric of the daemons.
func TestOperationsPageNamesEachMetric(t *testing.T) {
	doc := readOperationsPage(t)
	forEachMethodCall(t, func(file string, call *ast.CallExpr, name, receiver string) {
		metric, ok := stringLiteral(call, 0)
		isMetric := name == "SubMap" || name == "Latency" || (name == "Add" && strings.EqualFold(receiver, "metrics"))
		if ok && isMetric && !strings.Contains(doc, "`"+metric+"`") {
			t.Errorf("%s: docs/OPERATIONS.md does not list the metric `%s`", file, metric)
		}
	})
}
