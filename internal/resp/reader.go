// Package resp parses RESP2 commands (arrays of bulk strings) incrementally. The caller feeds a Reader
// the bytes that have arrived; the Reader can stop after any byte and continue there. It allocates
// memory only for bytes that have arrived, not for the lengths that a client announces.
//
// The package owns the size limits of commands and the texts of parse errors. It uses no socket and no
// clock and does not interpret commands.
package resp

import (
	"errors"
	"fmt"
	"strconv"
)

// Limits of a command; sizes are in bytes.
const (
	MaxArgs         = 16
	MaxArgBytes     = 4 << 10  // maximum of every argument except the last
	MaxBodyBytes    = 64 << 10 // maximum of the last argument
	MaxSkippedBytes = 1 << 20  // an argument over its maximum is skipped up to this size; a longer one is an error
	maxHeaderBytes  = 32
	maxKeptBuffer   = 8 << 10 // largest buffer that a reader keeps for its next command
	minBuffer       = 256
	// bufferSlack is extra space in a buffer for the arguments after the current one.
	bufferSlack = 64
)

// ErrTooLong is the error for a command that was skipped to its end because an argument was too
// long. The reader can continue with the next command, which it cannot after any other error.
var ErrTooLong = errors.New("argument too long")

var errMissingCRLF = errors.New("argument without its end")

type parseState uint8

const (
	stateArrayHeader parseState = iota // in the line with the number of arguments
	stateBulkHeader                    // in the line with an argument's length
	stateBulkData                      // in an argument
	stateCR                            // before the CR after an argument
	stateLF                            // before the LF after an argument
)

// Reader parses one command after another. Its zero value is ready to use. It is not safe for
// concurrent use.
type Reader struct {
	state    parseState
	started  bool  // at least one byte of a command has been read
	complete bool  // the command is complete; the next byte begins another one
	tooLong  bool  // an argument of the command is too long
	skipping bool  // the current argument is skipped
	err      error // error after which nothing more can be read

	header     [maxHeaderBytes]byte
	headerSize int

	argCount  int          // number of arguments that the command has announced
	argsRead  int          // number of arguments read completely
	remaining int          // bytes of the current argument that are still missing
	buffer    []byte       // the arguments, one directly after another
	argEnds   [MaxArgs]int // where each argument ends in buffer
	args      [MaxArgs][]byte
}

// Feed reads input up to the end of one command at most. It returns the number of bytes read and
// whether they completed a command. The command's arguments are then available from Args, unless err
// says that the command was invalid. If err is neither nil nor ErrTooLong, the reader cannot continue
// and every later call returns the same error.
func (r *Reader) Feed(input []byte) (n int, complete bool, err error) {
	if r.err != nil {
		return 0, false, r.err
	}
	if r.complete {
		r.Reset()
	}
	for n < len(input) {
		if r.state == stateBulkData {
			n += r.readData(input[n:])
			continue
		}
		b := input[n]
		n++
		r.started = true
		if err := r.readByte(b); err != nil {
			r.err = err
			r.dropBuffer()
			return n, true, err
		}
		if r.complete {
			if r.tooLong {
				return n, true, ErrTooLong
			}
			return n, true, nil
		}
	}
	return n, false, nil
}

// readData reads bytes of an argument and returns how many it read.
func (r *Reader) readData(input []byte) int {
	n := min(r.remaining, len(input))
	if !r.skipping {
		r.grow(n)
		r.buffer = append(r.buffer, input[:n]...)
	}
	r.remaining -= n
	if r.remaining == 0 {
		r.state = stateCR
	}
	return n
}

// readByte reads one byte outside an argument.
func (r *Reader) readByte(b byte) error {
	switch r.state {
	case stateArrayHeader, stateBulkHeader:
		r.header[r.headerSize] = b
		r.headerSize++
		if b == '\n' {
			return r.parseHeader()
		}
		if r.headerSize == maxHeaderBytes {
			return r.headerError()
		}
	case stateCR:
		if b != '\r' {
			return errMissingCRLF
		}
		r.state = stateLF
	default:
		if b != '\n' {
			return errMissingCRLF
		}
		r.argEnds[r.argsRead] = len(r.buffer)
		r.argsRead++
		r.complete = r.argsRead == r.argCount
		r.state = stateBulkHeader
	}
	return nil
}

// headerByte returns the byte that the current header has to begin with.
func (r *Reader) headerByte() byte {
	if r.state == stateArrayHeader {
		return '*'
	}
	return '$'
}

func (r *Reader) headerError() error { return fmt.Errorf("expected %q and a number", r.headerByte()) }

// parseHeader parses a complete header.
func (r *Reader) parseHeader() error {
	header := r.header[:r.headerSize]
	r.headerSize = 0
	if len(header) < 2 || header[len(header)-2] != '\r' || header[0] != r.headerByte() {
		return r.headerError()
	}
	value, err := strconv.Atoi(string(header[1 : len(header)-2]))
	if err != nil {
		return r.headerError()
	}
	if r.state == stateArrayHeader {
		return r.startArray(value)
	}
	return r.startArg(value)
}

func (r *Reader) startArray(argCount int) error {
	if argCount < 1 || argCount > MaxArgs {
		return fmt.Errorf("command of %d arguments", argCount)
	}
	r.argCount, r.state = argCount, stateBulkHeader
	return nil
}

func (r *Reader) startArg(size int) error {
	if size < 0 || size > MaxSkippedBytes {
		return fmt.Errorf("argument of %d bytes", size)
	}
	limit := MaxArgBytes
	if r.argsRead == r.argCount-1 {
		limit = MaxBodyBytes
	}
	r.tooLong = r.tooLong || size > limit
	r.skipping = r.tooLong // once an argument is too long, the later ones are not needed either
	if r.skipping {
		r.dropBuffer()
	}
	r.remaining, r.state = size, stateBulkData
	if size == 0 {
		r.state = stateCR
	}
	return nil
}

// grow makes room for n more bytes. It doubles the buffer at most, unless n needs more, and makes it no
// larger than the current argument needs plus bufferSlack.
func (r *Reader) grow(n int) {
	need := len(r.buffer) + n
	if need <= cap(r.buffer) {
		return
	}
	limit := len(r.buffer) + r.remaining + bufferSlack
	size := min(max(need, 2*cap(r.buffer), minBuffer), max(need, limit))
	buffer := make([]byte, len(r.buffer), size)
	copy(buffer, r.buffer)
	r.buffer = buffer
}

// Args returns the arguments of the command that Feed has completed. They are valid until the next call
// of Feed or Reset.
func (r *Reader) Args() [][]byte {
	start := 0
	for i, end := range r.argEnds[:r.argsRead] {
		r.args[i] = r.buffer[start:end:end]
		start = end
	}
	return r.args[:r.argsRead]
}

// Pending returns the bytes of an incomplete command that have been read. Fed to a new reader, they
// bring it to the same state. Pending returns false if an argument is being skipped, since the bytes of
// such a command are not kept.
func (r *Reader) Pending() ([]byte, bool) {
	if !r.Incomplete() {
		return nil, true
	}
	if r.tooLong {
		return nil, false
	}
	var text []byte
	if r.argCount > 0 {
		text = appendHeader(text, '*', r.argCount)
	}
	start := 0
	for _, end := range r.argEnds[:r.argsRead] {
		text = appendHeader(text, '$', end-start)
		text = append(text, r.buffer[start:end]...)
		text = append(text, "\r\n"...)
		start = end
	}
	if r.state == stateArrayHeader || r.state == stateBulkHeader {
		return append(text, r.header[:r.headerSize]...), true
	}
	// In stateCR and stateLF, remaining is 0.
	text = appendHeader(text, '$', len(r.buffer)-start+r.remaining)
	text = append(text, r.buffer[start:]...)
	if r.state == stateLF {
		text = append(text, '\r')
	}
	return text, true
}

func appendHeader(text []byte, kind byte, value int) []byte {
	text = append(text, kind)
	text = strconv.AppendInt(text, int64(value), 10)
	return append(text, "\r\n"...)
}

// BufferBytes returns the size of the reader's buffer in bytes.
func (r *Reader) BufferBytes() int { return cap(r.buffer) }

// Incomplete reports whether part of a command has been read, but not all of it.
func (r *Reader) Incomplete() bool { return r.started && !r.complete && r.err == nil }

func (r *Reader) dropBuffer() { r.buffer = nil }

// Reset discards the current command, so that the reader can be used for another one.
func (r *Reader) Reset() {
	buffer := r.buffer
	if cap(buffer) > maxKeptBuffer {
		buffer = nil
	}
	*r = Reader{buffer: buffer[:0]}
}
