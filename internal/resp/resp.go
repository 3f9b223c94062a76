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
	ArgsMost = 16
	ArgMost  = 4 << 10  // any argument but the last
	BodyMost = 64 << 10 // the last argument
	SkipMost = 1 << 20  // one this long is still read past, so that the connection can go on
	lineMost = 32
	keepMost = 8 << 10 // of memory that a reader keeps for its next command
)

// ErrTooLong is a command that was read past whole: the connection is still in
// step. After any other error it is of no more use.
var ErrTooLong = errors.New("argument too long")

type state uint8

const (
	atArray  state = iota // in the line with the number of arguments
	atLength              // in the line with an argument's length
	inArg
	atCR
	atLF
)

// Reader reads one command after another. Its zero value is ready. It is not
// safe for use by several goroutines.
type Reader struct {
	at    state
	begun bool // a byte of a command has come
	long  bool // an argument was read past
	skip  bool // this one is
	n     int  // arguments of the command
	left  int  // bytes that the argument still lacks
	line  [lineMost]byte
	size  int    // bytes in line
	buf   []byte // the arguments, one behind the other
	ends  [ArgsMost]int
	have  int
	args  [ArgsMost][]byte
	ended bool // the next byte begins another command
	err   error
}

// Feed reads from b up to the end of a command at most. It returns how many
// bytes it took, and whether they ended a command: then Args holds it, or err
// tells what was wrong with it. Where err is neither nil nor ErrTooLong every
// later call returns it again.
func (r *Reader) Feed(b []byte) (took int, whole bool, err error) {
	if r.err != nil {
		return 0, false, r.err
	}
	if r.ended {
		r.clear()
	}
	for took < len(b) {
		if r.at == inArg {
			n := min(r.left, len(b)-took)
			if !r.skip {
				r.grow(n)
				r.buf = append(r.buf, b[took:took+n]...)
			}
			took += n
			if r.left -= n; r.left == 0 {
				r.at = atCR
			}
			continue
		}
		c := b[took]
		took++
		r.begun = true
		if err := r.byte(c); err != nil {
			r.err = err
			r.drop()
			return took, true, err
		}
		if r.ended {
			if r.long {
				return took, true, ErrTooLong
			}
			return took, true, nil
		}
	}
	return took, false, nil
}

// byte reads one byte outside an argument.
func (r *Reader) byte(c byte) error {
	switch r.at {
	case atArray, atLength:
		r.line[r.size] = c
		if r.size++; c == '\n' {
			return r.number()
		}
		if r.size == lineMost {
			return r.wrongLine()
		}
		return nil
	case atCR:
		if c != '\r' {
			return errNoEnd
		}
		r.at = atLF
		return nil
	default:
		if c != '\n' {
			return errNoEnd
		}
		r.ends[r.have] = len(r.buf)
		if r.have++; r.have == r.n {
			r.ended = true
		}
		r.at = atLength
		return nil
	}
}

var errNoEnd = errors.New("argument without its end")

func (r *Reader) kind() byte {
	if r.at == atArray {
		return '*'
	}
	return '$'
}

func (r *Reader) wrongLine() error { return fmt.Errorf("expected %q and a number", r.kind()) }

// number ends a line with a number.
func (r *Reader) number() error {
	line := r.line[:r.size]
	r.size = 0
	if len(line) < 2 || line[len(line)-2] != '\r' || line[0] != r.kind() {
		return r.wrongLine()
	}
	n, err := strconv.Atoi(string(line[1 : len(line)-2]))
	if err != nil {
		return r.wrongLine()
	}
	if r.at == atArray {
		if n < 1 || n > ArgsMost {
			return fmt.Errorf("command of %d arguments", n)
		}
		r.n, r.at = n, atLength
		return nil
	}
	if n < 0 || n > SkipMost {
		return fmt.Errorf("argument of %d bytes", n)
	}
	most := ArgMost
	if r.have == r.n-1 {
		most = BodyMost
	}
	r.skip = n > most
	r.long = r.long || r.skip
	if r.long { // nothing of this command will be used
		r.skip = true
		r.drop()
	}
	if r.left, r.at = n, inArg; n == 0 {
		r.at = atCR
	}
	return nil
}

// grow makes room for n more bytes: what is there at most doubles, and never
// passes what the command can still bring.
func (r *Reader) grow(n int) {
	if need := len(r.buf) + n; need > cap(r.buf) {
		// The rest of the argument, and a little for those behind it.
		most := len(r.buf) + r.left + 64
		to := min(max(need, 2*cap(r.buf), 256), max(need, most))
		buf := make([]byte, len(r.buf), to)
		copy(buf, r.buf)
		r.buf = buf
	}
}

// Args is the command that Feed has ended. It holds until the next call.
func (r *Reader) Args() [][]byte {
	at := 0
	for i, end := range r.ends[:r.have] {
		r.args[i] = r.buf[at:end:end]
		at = end
	}
	return r.args[:r.have]
}

// Pending is the part of a command that has been read, as bytes that bring
// another reader to the same point. It is false where that cannot be: of an
// argument that is read past nothing is kept.
func (r *Reader) Pending() ([]byte, bool) {
	if !r.Midway() {
		return nil, true
	}
	if r.long {
		return nil, false
	}
	var b []byte
	if r.n > 0 {
		b = append(strconv.AppendInt(append(b, '*'), int64(r.n), 10), "\r\n"...)
	}
	at := 0
	arg := func(size int, have []byte) {
		b = append(strconv.AppendInt(append(b, '$'), int64(size), 10), "\r\n"...)
		b = append(b, have...)
	}
	for _, end := range r.ends[:r.have] {
		arg(end-at, r.buf[at:end])
		b = append(b, "\r\n"...)
		at = end
	}
	switch r.at {
	case inArg:
		arg(len(r.buf)-at+r.left, r.buf[at:])
	case atCR, atLF:
		arg(len(r.buf)-at, r.buf[at:])
		if r.at == atLF {
			b = append(b, '\r')
		}
	default:
		b = append(b, r.line[:r.size]...)
	}
	return b, true
}

// Held is how many bytes of commands the reader keeps in memory.
func (r *Reader) Held() int { return cap(r.buf) }

// Midway reports whether a command has begun and not ended.
func (r *Reader) Midway() bool { return r.begun && !r.ended && r.err == nil }

func (r *Reader) drop() { r.buf = nil }

func (r *Reader) clear() {
	buf := r.buf
	if cap(buf) > keepMost {
		buf = nil
	}
	*r = Reader{buf: buf[:0]}
}

// Reset makes the reader ready for another connection.
func (r *Reader) Reset() { r.clear() }
