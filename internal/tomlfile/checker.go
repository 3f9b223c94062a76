package tomlfile

import (
	"errors"
	"fmt"
	"strings"
)

const maxErrors = 50 // that are told of one file

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

// Checker collects what is wrong with the values of a file.
type Checker struct {
	file  string
	lines map[string]int // by key
	errs  []error
}

// Err joins what was wrong, each an Error; nil for nothing.
func (c *Checker) Err() error { return errors.Join(c.errs...) }

// Errorf adds what is wrong with a key, which is given as a.b or a[1].b.
func (c *Checker) Errorf(key, format string, a ...any) {
	if len(c.errs) >= maxErrors {
		return
	}
	c.errs = append(c.errs, &Error{c.file, c.line(key), key, fmt.Sprintf(format, a...)})
}

// line is the line of a key, or of its table where the key was left out; 0 where
// that was as well.
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
