// Package resp parses commands of RESP2 (arrays of bulk strings) incrementally:
// a Reader is fed the bytes that came, can stop at any byte and go on there, and
// holds memory only for what has come, never for what was announced.
//
// It owns the limits of a command and the texts of its errors. It must never read
// a socket, look at a clock, or know what a command means.
package resp

import (
	"errors"
	"fmt"
	"strconv"
)

// Limits of a command; sizes are in bytes.
const (
	MaxArgs         = 16
	MaxArgBytes     = 4 << 10  // any argument but the last
	MaxBodyBytes    = 64 << 10 // the last argument
	MaxSkippedBytes = 1 << 20  // an argument up to here is skipped, so that the connection can go on
	maxHeaderBytes  = 32
	maxKeptBuffer   = 8 << 10 // of the buffer that a reader keeps for its next command
	minBuffer       = 256
	// bufferSlack is added to a buffer for the arguments behind the current one.
	bufferSlack = 64
)

// ErrTooLong is the error of a command that was skipped to its end: the
// connection is still in sync. After any other error it cannot be used.
var ErrTooLong = errors.New("argument too long")

var errMissingCRLF = errors.New("argument without its end")

type parseState uint8

const (
	stateArrayHeader parseState = iota // in the line with the number of arguments
	stateBulkHeader                    // in the line with an argument's length
	stateBulkData
	stateCR
	stateLF
)

// Reader reads one command after another. Its zero value is ready to use. It is
// not safe for concurrent use.
type Reader struct {
	state    parseState
	started  bool // a byte of a command has come
	complete bool // the next byte begins another command
	tooLong  bool // an argument was skipped
	skipping bool // the current one is
	err      error

	header     [maxHeaderBytes]byte
	headerSize int

	argCount  int // of the command
	argsRead  int
	remaining int    // bytes that the current argument lacks
	buffer    []byte // the arguments, one behind the other
	argEnds   [MaxArgs]int
	args      [MaxArgs][]byte
}

// Feed reads input up to the end of a command at most. It returns how many bytes
// it took, and whether they ended a command: then Args returns it, or err tells
// what was wrong with it. If err is neither nil nor ErrTooLong every later call
// returns it again.
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

// readData reads bytes of an argument. It returns how many it took.
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

// headerByte is the byte that the current header begins with.
func (r *Reader) headerByte() byte {
	if r.state == stateArrayHeader {
		return '*'
	}
	return '$'
}

func (r *Reader) headerError() error { return fmt.Errorf("expected %q and a number", r.headerByte()) }

// parseHeader parses a header that has come to its end.
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
	r.skipping = r.tooLong // nothing of such a command will be used
	if r.skipping {
		r.dropBuffer()
	}
	r.remaining, r.state = size, stateBulkData
	if size == 0 {
		r.state = stateCR
	}
	return nil
}

// grow makes room for n more bytes: the buffer at most doubles, and never gets
// larger than what the command can still bring.
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

// Args returns the command that Feed has completed. It is valid until the next
// call.
func (r *Reader) Args() [][]byte {
	start := 0
	for i, end := range r.argEnds[:r.argsRead] {
		r.args[i] = r.buffer[start:end:end]
		start = end
	}
	return r.args[:r.argsRead]
}

// Pending returns the part of a command that has been read, as bytes that bring
// another reader to the same point. It returns false if that cannot be: of a
// skipped argument nothing is kept.
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
	// remaining is 0 behind an argument's data
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

// BufferBytes returns how many bytes of memory the reader holds for commands.
func (r *Reader) BufferBytes() int { return cap(r.buffer) }

// Incomplete reports whether a command has begun and not ended.
func (r *Reader) Incomplete() bool { return r.started && !r.complete && r.err == nil }

func (r *Reader) dropBuffer() { r.buffer = nil }

// Reset makes the reader ready for another command or connection.
func (r *Reader) Reset() {
	buffer := r.buffer
	if cap(buffer) > maxKeptBuffer {
		buffer = nil
	}
	*r = Reader{buffer: buffer[:0]}
}
