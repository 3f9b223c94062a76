package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// lists reads the lists of a watch from its body: JSON objects with white space
// between and within them, in whatever lines. What is not one is told at its first
// wrong byte. Between two lists an empty line is a sign of life; within one it is
// part of it, so that one that trickles for ever is told by its silence.
type lists struct {
	body  io.Reader
	dec   *json.Decoder
	most  int        // bytes of one list
	count int        // bytes since the one before ended
	begun bool       // one has begun
	read  int        // bytes of the last one
	alive func()     // called for an empty line between two
	open  func(bool) // called as bytes of a list come, and as it is over; may be nil
}

const listKept = 64 << 10 // bytes of a list that its reader may keep for the next one: a watch lasts for days

// errGarbled is what cannot be read, or is too long.
var errGarbled = errors.New("discovery: garbled")

func newLists(body io.Reader, most int, alive func()) *lists {
	l := &lists{body: body, most: most, alive: alive}
	l.dec = json.NewDecoder(l)
	return l
}

// Read is the decoder's.
func (l *lists) Read(b []byte) (int, error) {
	if l.count > l.most {
		return 0, fmt.Errorf("%w: a list of more than %d bytes", errGarbled, l.most)
	}
	n, err := l.body.Read(b)
	blank, line := true, false
	for _, c := range b[:n] {
		blank = blank && space(c)
		line = line || c == '\n'
	}
	if blank && line && !l.begun {
		l.alive()
	}
	if l.begun = l.begun || !blank; l.begun {
		l.count += n
	}
	if !blank && l.open != nil {
		l.open(true)
	}
	return n, err
}

func space(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// next is the next list. An error that is not errGarbled is the connection's end.
func (l *lists) next() (*List, error) {
	// What the decoder has read ahead may be the beginning of it.
	ahead, _ := io.ReadAll(l.dec.Buffered())
	l.begun, l.count = false, 0
	for _, c := range ahead {
		l.begun = l.begun || !space(c)
	}
	if l.begun {
		l.count = len(ahead)
	}
	if l.read > listKept { // its buffer would be kept
		l.dec = json.NewDecoder(&behind{ahead, l})
	}
	before := l.dec.InputOffset()
	var text json.RawMessage
	err := l.dec.Decode(&text)
	l.read = int(l.dec.InputOffset() - before)
	if l.open != nil {
		l.open(false)
	}
	var bad *json.SyntaxError
	if errors.As(err, &bad) {
		return nil, fmt.Errorf("%w: %w", errGarbled, err)
	}
	if err != nil {
		return nil, err
	}
	list, err := parseList(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errGarbled, err)
	}
	return list, nil
}

// behind reads what was read ahead first, and then what follows.
type behind struct {
	ahead []byte
	then  io.Reader
}

func (b *behind) Read(p []byte) (int, error) {
	if len(b.ahead) > 0 {
		n := copy(p, b.ahead)
		b.ahead = b.ahead[n:]
		return n, nil
	}
	return b.then.Read(p)
}
