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

const repoRoot = "../.."

// logText is the text and level of a log line as the table in docs/operators/log-lines.md
// lists it. A text that the relay completes at run time ends in an ellipsis.
type logText struct{ text, level string }

// relayFolders returns the source folders of the relay program, which deploy/balancer.toml
// lists under "node".
func relayFolders(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repoRoot, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^node = \[(.*)\]$`).FindStringSubmatch(string(text))
	if list == nil {
		t.Fatal("deploy/balancer.toml has no line \"node = [...]\" with the folders of the relay program")
	}
	var folders []string
	for _, quoted := range strings.Split(list[1], ",") {
		folders = append(folders, strings.Trim(quoted, ` "`))
	}
	return folders
}

// textOf returns the text of an argument that is a string literal, or a string literal to
// which a value is appended; the appended value becomes an ellipsis.
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

// levelOf returns the log level that a selector such as log.Warn or slog.LevelWarn names.
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

// logTexts returns the log lines that a call writes at level warn or error: the level is
// either the called method or an argument, and the text is the argument after it.
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

// logTextsInCode returns the log lines that the relay's source writes at level warn or error.
func logTextsInCode(t *testing.T) (found []logText) {
	t.Helper()
	for _, folder := range relayFolders(t) {
		err := filepath.WalkDir(filepath.Join(repoRoot, folder), func(path string, _ fs.DirEntry, err error) error {
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

// logTextsInTable returns the log lines in the table of docs/operators/log-lines.md.
func logTextsInTable(t *testing.T) (found []logText) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(repoRoot, "docs", "operators", "log-lines.md"))
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| (.+?) \| (warn|error) \| .+ \| .+ \|$`)
	for _, cells := range row.FindAllStringSubmatch(string(page), -1) {
		found = append(found, logText{cells[1], cells[2]})
	}
	return found
}

// Guards against a table of log lines that differs from the code: operators look up each
// warning and error there. A line that is added, reworded or removed in the code without a
// change of the table fails this test.
func TestTableOfLogLines(t *testing.T) {
	code, table := logTextsInCode(t), logTextsInTable(t)
	for _, line := range code {
		if !slices.Contains(table, line) {
			t.Errorf("log line %q at level %s is in the code but not in the table", line.text, line.level)
		}
	}
	for _, line := range table {
		if !slices.Contains(code, line) {
			t.Errorf("log line %q at level %s is in the table but not in the code", line.text, line.level)
		}
	}
	if len(table) == 0 {
		t.Error("the table in docs/operators/log-lines.md has no row at level warn or error")
	}
}
