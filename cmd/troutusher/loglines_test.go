package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// logText is a line's text in the table of the operators' page; one that goes on with
// what only a running relay knows ends in an ellipsis.
type logText struct{ text, level string }

// daemonFolders are those that the deploy file lists for the daemon.
func daemonFolders(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^node = \[(.*)\]$`).FindStringSubmatch(string(text))
	if list == nil {
		t.Fatal("the deploy file lists no folders of the daemon")
	}
	var folders []string
	for _, quoted := range strings.Split(list[1], ",") {
		folders = append(folders, strings.Trim(quoted, ` "`))
	}
	return folders
}

// textOf returns the text of an argument: a literal, or one that something is added to.
func textOf(argument ast.Expr) (string, bool) {
	switch e := argument.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, err == nil && e.Kind == token.STRING
	case *ast.BinaryExpr:
		text, ok := textOf(e.X)
		return text + "…", ok
	}
	return "", false
}

// levelOf returns the level that a selector names.
func levelOf(e ast.Expr) (string, bool) {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	level, ok := map[string]string{
		"Warn": "warn", "LevelWarn": "warn", "Error": "error", "LevelError": "error",
	}[selector.Sel.Name]
	return level, ok
}

// logTexts lists the lines at warn and error that a call writes.
func logTexts(call *ast.CallExpr) (found []logText) {
	operands := append([]ast.Expr{call.Fun}, call.Args...)
	for i, operand := range operands[:len(operands)-1] {
		level, ok := levelOf(operand)
		if !ok {
			continue
		}
		if text, ok := textOf(operands[i+1]); ok {
			found = append(found, logText{text, level})
		}
	}
	return found
}

// logTextsInCode lists the lines at warn and error in the daemon's folders.
func logTextsInCode(t *testing.T) (found []logText) {
	t.Helper()
	for _, folder := range daemonFolders(t) {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					found = append(found, logTexts(call)...)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// logTextsInTable lists the lines in the table of the operators' page.
func logTextsInTable(t *testing.T) (found []logText) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "operators", "log-lines.md"))
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| (.+?) \| (warn|error) \| .+ \| .+ \|$`)
	for _, cells := range row.FindAllStringSubmatch(string(page), -1) {
		found = append(found, logText{cells[1], cells[2]})
	}
	return found
}

// The operators' table of log lines holds every line at warn and error that the daemon
// can write, and no other.
func TestTableOfLogLines(t *testing.T) {
	code, table := logTextsInCode(t), logTextsInTable(t)
	for _, line := range code {
		if !slices.Contains(table, line) {
			t.Errorf("not in the table: %q at %s", line.text, line.level)
		}
	}
	for _, line := range table {
		if !slices.Contains(code, line) {
			t.Errorf("not in the code: %q at %s", line.text, line.level)
		}
	}
	if len(table) == 0 {
		t.Error("the table is empty")
	}
}
