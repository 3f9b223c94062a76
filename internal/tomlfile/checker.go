package tomlfile

import (
	"errors"
	"fmt"
	"strings"
)

const maxErrors = 50 // maximum number of errors that are reported for one file

// Error is one error in a file.
type Error struct {
	File string
	Line int    // 0 if unknown
	Key  string // empty if the error concerns the whole file
	Text string
}

// Error returns the file, the line, the key and the text of the error.
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

// Checker collects the errors in the values of a file.
type Checker struct {
	file  string
	lines map[string]int // line number of each full key
	errs  []error
}

// Err returns the collected *Error values as a joined error, or nil if there are none.
func (c *Checker) Err() error { return errors.Join(c.errs...) }

// Errorf adds an error about the value of a key, which has the form a.b or a[1].b. It does
// nothing once maxErrors errors are collected.
func (c *Checker) Errorf(key, format string, a ...any) {
	if len(c.errs) >= maxErrors {
		return
	}
	c.errs = append(c.errs, &Error{c.file, c.line(key), key, fmt.Sprintf(format, a...)})
}

// line returns the line of a key. If the key is missing, it returns the line of the nearest
// table around it, or 0 if there is none.
func (c *Checker) line(key string) int {
	for {
		if line, ok := c.lines[key]; ok {
			return line
		}
		dot := strings.LastIndexByte(key, '.')
		if dot < 0 {
			return 0
		}
		key = key[:dot]
	}
}
