package telemetry_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/process/telemetry"
)

// eventNameArg maps the methods that log an event to the index of the event's name among their arguments; apply is a method of
// catalog.MembershipManager that logs under the name passed to it.
var eventNameArg = map[string]int{"Debug": 0, "Info": 0, "Warn": 0, "Error": 0, "apply": 1}

// implicitKeys maps functions to the keys that they add without naming them at the call.
var implicitKeys = map[string][]string{"logAttempt": {"attempt", "request", "upstream"}, "apply": {"vm"}}

// loggedEvents returns the keys of each event that the project's code logs.
func loggedEvents(t *testing.T) map[string]map[string]bool {
	found := map[string]map[string]bool{}
	must.NoError(t, filepath.WalkDir("../..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Body != nil {
				addLoggedEvents(found, f)
			}
		}
		return nil
	}))
	return found
}

// addLoggedEvents adds the events that a function logs.
func addLoggedEvents(found map[string]map[string]bool, f *ast.FuncDecl) {
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		index, ok := eventNameArg[selector.Sel.Name]
		if !ok || len(call.Args) <= index {
			return true
		}
		name, ok := stringLiteral(call.Args[index])
		if !ok || strings.ContainsAny(name, " :") { // not the name of an event
			return true
		}
		if found[name] == nil {
			found[name] = map[string]bool{}
		}
		for _, key := range append(keysOf(f, selector.X), implicitKeys[selector.Sel.Name]...) {
			found[name][key] = true
		}
		return true
	})
}

// keysOf returns the keys in the chain of calls that logs an event.
func keysOf(f *ast.FuncDecl, chain ast.Expr) []string {
	call, ok := chain.(*ast.CallExpr)
	if !ok {
		return nil
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	keys := append(keysOf(f, selector.X), implicitKeys[selector.Sel.Name]...)
	switch selector.Sel.Name {
	case "WithField":
		if key, ok := stringLiteral(call.Args[0]); ok {
			keys = append(keys, key)
		}
	case "WithFields":
		keys = append(keys, literalKeys(f, call.Args[0])...)
	}
	return keys
}

// literalKeys returns the keys of a literal of fields, given directly or through a variable of the same function.
func literalKeys(f *ast.FuncDecl, fields ast.Expr) []string {
	var keys []string
	switch e := fields.(type) {
	case *ast.CompositeLit:
		for _, element := range e.Elts {
			if pair, ok := element.(*ast.KeyValueExpr); ok {
				if key, ok := stringLiteral(pair.Key); ok {
					keys = append(keys, key)
				}
			}
		}
	case *ast.Ident:
		ast.Inspect(f, func(n ast.Node) bool {
			assign, ok := n.(*ast.AssignStmt)
			if !ok || len(assign.Lhs) != 1 {
				return true
			}
			if name, ok := assign.Lhs[0].(*ast.Ident); ok && name.Name == e.Name {
				if literal, ok := assign.Rhs[0].(*ast.CompositeLit); ok {
					keys = literalKeys(f, literal)
				}
			}
			return true
		})
	}
	return keys
}

func stringLiteral(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// TestLoggedEventsMatchTable checks that the table lists exactly the events in the code, with exactly their keys.
func TestLoggedEventsMatchTable(t *testing.T) {
	inCode := loggedEvents(t)
	inCode["log_lines_lost"] = map[string]bool{"count": true} // written by AsyncWriter without a logger
	var listed []string
	for _, e := range telemetry.Events() {
		listed = append(listed, e.Name)
		keys := map[string]bool{}
		for _, key := range e.Keys {
			keys[key] = true
		}
		must.MapEq(t, inCode[e.Name], keys, must.Sprint(e.Name))
		delete(inCode, e.Name)
	}
	must.MapEmpty(t, inCode)
	must.True(t, slices.IsSorted(listed))
}

// TestDocsListEveryEvent checks that docs/OPERATIONS.md contains the table of events.
func TestDocsListEveryEvent(t *testing.T) {
	doc, err := os.ReadFile("../../docs/OPERATIONS.md")
	must.NoError(t, err)
	must.StrContains(t, string(doc), telemetry.EventsTable())
}
