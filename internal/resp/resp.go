// Package resp reads commands of RESP2 (arrays of bulk strings) as a machine
// over bytes: it is fed what came, can be left at any byte and taken up again
// there, and holds memory only for what has come, never for what was announced.
//
// It owns the bounds of a command and the words in which a breach is told. It
// must never read a socket, look at a clock, or know what a command means.
package resp

import (
	"errors"
	"fmt"
	"strconv"
)

// Bounds of a command, in bytes where they are not numbers of arguments.
const (
	MaxArgs         = 16
	MaxArgBytes     = 4 << 10  // any argument but the last
	MaxBodyBytes    = 64 << 10 // the last argument
	MaxSkippedBytes = 1 << 20  // one this long is still read past, so that the connection can go on
	maxHeaderBytes  = 32
	maxKeptBuffer   = 8 << 10 // of memory that a reader keeps for its next command
)

// ErrTooLong is a command that was read past whole: the connection is still in
// step. After any other error it is of no more use.
var ErrTooLong = errors.New("argument too long")

type parseState uint8

const (
	stateArrayHeader parseState = iota // in the line with the number of arguments
	stateBulkHeader                    // in the line with an argument's length
	stateBulkData
	stateCR
	stateLF
)

// Reader reads one command after another. Its zero value is ready. It is not
// safe for use by several goroutines.
type Reader struct {
	state      parseState
	started    bool // a byte of a command has come
	tooLong    bool // an argument was read past
	skipping   bool // this one is
	argCount   int  // arguments of the command
	remaining  int  // bytes that the argument still lacks
	line       [maxHeaderBytes]byte
	lineLength int    // bytes in line
	buf        []byte // the arguments, one behind the other
	argEnds    [MaxArgs]int
	argsRead   int
	args       [MaxArgs][]byte
	complete   bool // the next byte begins another command
	err        error
}

// Feed reads from b up to the end of a command at most. It returns how many
// bytes it took, and whether they ended a command: then Args holds it, or err
// tells what was wrong with it. Where err is neither nil nor ErrTooLong every
// later call returns it again.
func (r *Reader) Feed(b []byte) (took int, whole bool, err error) {
	if r.err != nil {
		return 0, false, r.err
	}
	if r.complete {
		r.clear()
	}
	for took < len(b) {
		if r.state == stateBulkData {
			n := min(r.remaining, len(b)-took)
			if !r.skipping {
				r.grow(n)
				r.buf = append(r.buf, b[took:took+n]...)
			}
			took += n
			if r.remaining -= n; r.remaining == 0 {
				r.state = stateCR
			}
			continue
		}
		c := b[took]
		took++
		r.started = true
		if err := r.readByte(c); err != nil {
			r.err = err
			r.dropBuffer()
			return took, true, err
		}
		if r.complete {
			if r.tooLong {
				return took, true, ErrTooLong
			}
			return took, true, nil
		}
	}
	return took, false, nil
}

// readByte reads one byte outside an argument.
func (r *Reader) readByte(c byte) error {
	switch r.state {
	case stateArrayHeader, stateBulkHeader:
		r.line[r.lineLength] = c
		if r.lineLength++; c == '\n' {
			return r.parseHeader()
		}
		if r.lineLength == maxHeaderBytes {
			return r.headerError()
		}
		return nil
	case stateCR:
		if c != '\r' {
			return errMissingCRLF
		}
		r.state = stateLF
		return nil
	default:
		if c != '\n' {
			return errMissingCRLF
		}
		r.argEnds[r.argsRead] = len(r.buf)
		if r.argsRead++; r.argsRead == r.argCount {
			r.complete = true
		}
		r.state = stateBulkHeader
		return nil
	}
}

var errMissingCRLF = errors.New("argument without its end")

func (r *Reader) headerByte() byte {
	if r.state == stateArrayHeader {
		return '*'
	}
	return '$'
}

func (r *Reader) headerError() error { return fmt.Errorf("expected %q and a number", r.headerByte()) }

// parseHeader ends a line with a number.
func (r *Reader) parseHeader() error {
	line := r.line[:r.lineLength]
	r.lineLength = 0
	if len(line) < 2 || line[len(line)-2] != '\r' || line[0] != r.headerByte() {
		return r.headerError()
	}
	n, err := strconv.Atoi(string(line[1 : len(line)-2]))
	if err != nil {
		return r.headerError()
	}
	if r.state == stateArrayHeader {
		if n < 1 || n > MaxArgs {
			return fmt.Errorf("command of %d arguments", n)
		}
		r.argCount, r.state = n, stateBulkHeader
		return nil
	}
	if n < 0 || n > MaxSkippedBytes {
		return fmt.Errorf("argument of %d bytes", n)
	}
	most := MaxArgBytes
	if r.argsRead == r.argCount-1 {
		most = MaxBodyBytes
	}
	r.skipping = n > most
	r.tooLong = r.tooLong || r.skipping
	if r.tooLong { // nothing of this command will be used
		r.skipping = true
		r.dropBuffer()
	}
	if r.remaining, r.state = n, stateBulkData; n == 0 {
		r.state = stateCR
	}
	return nil
}

// grow makes room for n more bytes: what is there at most doubles, and never
// passes what the command can still bring.
func (r *Reader) grow(n int) {
	if need := len(r.buf) + n; need > cap(r.buf) {
		// The rest of the argument, and a little for those behind it.
		most := len(r.buf) + r.remaining + 64
		to := min(max(need, 2*cap(r.buf), 256), max(need, most))
		buf := make([]byte, len(r.buf), to)
		copy(buf, r.buf)
		r.buf = buf
	}
}

// Args is the command that Feed has ended. It holds until the next call.
func (r *Reader) Args() [][]byte {
	at := 0
	for i, end := range r.argEnds[:r.argsRead] {
		r.args[i] = r.buf[at:end:end]
		at = end
	}
	return r.args[:r.argsRead]
}

// Pending is the part of a command that has been read, as bytes that bring
// another reader to the same point. It is false where that cannot be: of an
// argument that is read past nothing is kept.
func (r *Reader) Pending() ([]byte, bool) {
	if !r.Incomplete() {
		return nil, true
	}
	if r.tooLong {
		return nil, false
	}
	var b []byte
	if r.argCount > 0 {
		b = append(strconv.AppendInt(append(b, '*'), int64(r.argCount), 10), "\r\n"...)
	}
	at := 0
	arg := func(size int, have []byte) {
		b = append(strconv.AppendInt(append(b, '$'), int64(size), 10), "\r\n"...)
		b = append(b, have...)
	}
	for _, end := range r.argEnds[:r.argsRead] {
		arg(end-at, r.buf[at:end])
		b = append(b, "\r\n"...)
		at = end
	}
	switch r.state {
	case stateBulkData:
		arg(len(r.buf)-at+r.remaining, r.buf[at:])
	case stateCR, stateLF:
		arg(len(r.buf)-at, r.buf[at:])
		if r.state == stateLF {
			b = append(b, '\r')
		}
	default:
		b = append(b, r.line[:r.lineLength]...)
	}
	return b, true
}

// BufferBytes is how many bytes of commands the reader keeps in memory.
func (r *Reader) BufferBytes() int { return cap(r.buf) }

// Incomplete reports whether a command has begun and not ended.
func (r *Reader) Incomplete() bool { return r.started && !r.complete && r.err == nil }

func (r *Reader) dropBuffer() { r.buf = nil }

func (r *Reader) clear() {
	buf := r.buf
	if cap(buf) > maxKeptBuffer {
		buf = nil
	}
	*r = Reader{buf: buf[:0]}
}

// Reset makes the reader ready for another connection.
func (r *Reader) Reset() { r.clear() }
