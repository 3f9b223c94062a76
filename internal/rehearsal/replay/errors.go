package replay

import (
	"errors"
	"fmt"
)

// Error is an error in a recording, with its position.
type Error struct {
	Line   int   // from 1
	Offset int64 // of the line's first byte
	Err    error
}

// Error returns the message of the error, with its line and byte.
func (e *Error) Error() string {
	return fmt.Sprintf("recording: line %d, byte %d: %v", e.Line, e.Offset, e.Err)
}

// Unwrap returns the error without its position.
func (e *Error) Unwrap() error { return e.Err }

// Errors that callers may test for with errors.Is.
var (
	ErrNewerVersion = errors.New("written by a newer release")
	ErrTruncated    = errors.New("unexpected end of the recording")
	ErrDamaged      = errors.New("checksum does not match the contents")
)
