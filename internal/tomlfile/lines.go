package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line number of each key in a TOML text. Keys in tables of an array
// contain the index of the table, as in fault[2].at_s.
func keyLines(text []byte) map[string]int {
	f := &lineFinder{lines: map[string]int{}, arraySizes: map[string]int{}}
	f.parser.Reset(text)
	for f.parser.NextExpression() {
		switch node := f.parser.Expression(); node.Kind {
		case unstable.Table:
			f.addTable(node)
		case unstable.ArrayTable:
			f.addArrayTable(node)
		case unstable.KeyValue:
			f.addKeyValue(f.table, node)
		}
	}
	return f.lines
}

// lineFinder collects the line numbers of the keys while it walks through a TOML text.
type lineFinder struct {
	parser     unstable.Parser
	lines      map[string]int // line number of each full key
	arraySizes map[string]int // number of tables found so far in each array
	table      string         // full key of the current table
}

func (f *lineFinder) addTable(node *unstable.Node) {
	f.table = dottedKey(node)
	// A table within an array, such as a.b where a is an array, belongs to the array's last table.
	if array, rest, ok := strings.Cut(f.table, "."); ok && f.arraySizes[array] > 0 {
		f.table = arrayKey(array, f.arraySizes[array]-1) + "." + rest
	}
	f.lines[f.table] = f.line(node)
}

func (f *lineFinder) addArrayTable(node *unstable.Node) {
	array := dottedKey(node)
	if f.arraySizes[array] == 0 {
		f.lines[array] = f.line(node)
	}
	f.table = arrayKey(array, f.arraySizes[array])
	f.arraySizes[array]++
	f.lines[f.table] = f.line(node)
}

// addKeyValue adds a key and, if its value is an inline table, the keys in that table.
func (f *lineFinder) addKeyValue(prefix string, node *unstable.Node) {
	key := dottedKey(node)
	if prefix != "" {
		key = prefix + "." + key
	}
	f.lines[key] = f.line(node)
	if value := node.Value(); value.Kind == unstable.InlineTable {
		for child := value.Children(); child.Next(); {
			f.addKeyValue(key, child.Node())
		}
	}
}

// line returns the line of a node's key, or 0 if the node has no key.
func (f *lineFinder) line(node *unstable.Node) int {
	key := node.Key()
	if !key.Next() {
		return 0
	}
	return f.parser.Shape(f.parser.Range(key.Node().Data)).Start.Line
}

// dottedKey returns the key of a node with its parts joined by dots.
func dottedKey(node *unstable.Node) string {
	var parts []string
	for key := node.Key(); key.Next(); {
		parts = append(parts, string(key.Node().Data))
	}
	return strings.Join(parts, ".")
}

// arrayKey returns the key of one table of an array.
func arrayKey(array string, index int) string { return fmt.Sprintf("%s[%d]", array, index) }
