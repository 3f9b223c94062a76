package replay

import (
	"errors"
	"fmt"
)

// Error is what is wrong with a recording, and where.
type Error struct {
	Line   int   // from 1
	Offset int64 // of the line's first byte
	Err    error
}

// Error names the line and the byte.
func (e *Error) Error() string {
	return fmt.Sprintf("recording: line %d, byte %d: %v", e.Line, e.Offset, e.Err)
}

// Unwrap returns what is wrong.
func (e *Error) Unwrap() error { return e.Err }

// Errors that callers may test for with errors.Is.
var (
	ErrNewerVersion = errors.New("it was written by a newer release")
	ErrTruncated    = errors.New("it ends too early")
	ErrDamaged      = errors.New("its checksum does not fit")
)
