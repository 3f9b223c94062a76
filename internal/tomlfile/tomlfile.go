// Package tomlfile reads the TOML files that an operator writes, and tells of
// each thing that is wrong in one with file, line and key.
//
// It owns the form of these errors and the bound on a file's size. What values
// are right, the caller says.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxFileBytes is how many bytes a file may have.
const MaxFileBytes = 1 << 20

const maxErrors = 50 // told of one file

// Error is one thing that is wrong with a file.
type Error struct {
	File string
	Line int // 0 where it has none
	Key  string
	Text string
}

func (e *Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	if e.Key != "" {
		s += ": " + e.Key
	}
	return s + ": " + e.Text
}

// Read reads a file of at most Most bytes.
func Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	return text, checkSize(path, text)
}

func checkSize(file string, text []byte) error {
	if len(text) > MaxFileBytes {
		return &Error{File: file, Text: fmt.Sprintf("more than %d bytes", MaxFileBytes)}
	}
	return nil
}

// Decode reads a text into a struct; keys that it does not have are errors.
// The error joins one Error for each thing that is wrong.
func Decode(file string, text []byte, into any) (*Checker, error) {
	if err := checkSize(file, text); err != nil {
		return nil, err
	}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		var unknown *toml.StrictMissingError
		var one *toml.DecodeError
		var all []error
		switch {
		case errors.As(err, &unknown):
			for i := range unknown.Errors {
				line, _ := unknown.Errors[i].Position()
				all = append(all, &Error{file, line, strings.Join(unknown.Errors[i].Key(), "."), "unknown key"})
			}
		case errors.As(err, &one):
			line, _ := one.Position()
			all = append(all, &Error{file, line, strings.Join(one.Key(), "."), strings.TrimPrefix(one.Error(), "toml: ")})
		default:
			all = append(all, &Error{File: file, Text: err.Error()})
		}
		return nil, errors.Join(all...)
	}
	return &Checker{file: file, lines: keyLines(text)}, nil
}

// Checker collects what is wrong with the values of a file.
type Checker struct {
	file  string
	lines map[string]int
	errs  []error
}

// Err joins what was wrong; nil for nothing.
func (c *Checker) Err() error { return errors.Join(c.errs...) }

// Errorf tells of a key, as a.b or a[1].b. One that was left out has the line of
// its table.
func (c *Checker) Errorf(key, format string, a ...any) {
	if len(c.errs) >= maxErrors {
		return
	}
	line := 0
	for k := key; ; {
		if n, ok := c.lines[k]; ok {
			line = n
			break
		}
		i := strings.LastIndexByte(k, '.')
		if i < 0 {
			break
		}
		k = k[:i]
	}
	c.errs = append(c.errs, &Error{c.file, line, key, fmt.Sprintf(format, a...)})
}

// keyLines finds the line of each key, with tables that come many times numbered
// as in fault[2].at_s.
func keyLines(text []byte) map[string]int {
	at := map[string]int{}
	count := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	full := func(it unstable.Iterator) string {
		var parts []string
		for it.Next() {
			parts = append(parts, string(it.Node().Data))
		}
		return strings.Join(parts, ".")
	}
	line := func(n *unstable.Node) int {
		it := n.Key()
		for it.Next() {
			return p.Shape(p.Range(it.Node().Data)).Start.Line
		}
		return 0
	}
	var keyValue func(prefix string, n *unstable.Node)
	keyValue = func(prefix string, n *unstable.Node) {
		key := full(n.Key())
		if prefix != "" {
			key = prefix + "." + key
		}
		at[key] = line(n)
		if v := n.Value(); v.Kind == unstable.InlineTable {
			for it := v.Children(); it.Next(); {
				keyValue(key, it.Node())
			}
		}
	}
	for p.NextExpression() {
		switch n := p.Expression(); n.Kind {
		case unstable.Table:
			table = full(n.Key())
			if head, rest, ok := strings.Cut(table, "."); ok && count[head] > 0 {
				table = fmt.Sprintf("%s[%d].%s", head, count[head]-1, rest)
			}
			at[table] = line(n)
		case unstable.ArrayTable:
			name := full(n.Key())
			table = fmt.Sprintf("%s[%d]", name, count[name])
			if count[name] == 0 {
				at[name] = line(n)
			}
			count[name]++
			at[table] = line(n)
		case unstable.KeyValue:
			keyValue(table, n)
		}
	}
	return at
}
