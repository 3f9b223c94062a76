package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// listDecoder reads the lists of a watch from its body: JSON objects with white space
// between and within them, in whatever lines. What is not one is told at its first
// wrong byte. Between two lists an empty line is a sign of life; within one it is
// part of it, so that one that trickles for ever is told by its silence.
type listDecoder struct {
	body          io.Reader
	decoder       *json.Decoder
	maxBytes      int        // bytes of one list
	listBytes     int        // bytes since the one before ended
	inList        bool       // one has begun
	lastListBytes int        // bytes of the last one
	onHeartbeat   func()     // called for an empty line between two
	onListOpen    func(bool) // called as bytes of a list come, and as it is over; may be nil
}

const maxKeptBuffer = 64 << 10 // bytes of a list that its reader may keep for the next one: a watch lasts for days

// errMalformed is what cannot be read, or is too long.
var errMalformed = errors.New("discovery: garbled")

func newListDecoder(body io.Reader, most int, alive func()) *listDecoder {
	l := &listDecoder{body: body, maxBytes: most, onHeartbeat: alive}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read is the decoder's.
func (l *listDecoder) Read(b []byte) (int, error) {
	if l.listBytes > l.maxBytes {
		return 0, fmt.Errorf("%w: a list of more than %d bytes", errMalformed, l.maxBytes)
	}
	n, err := l.body.Read(b)
	blank, line := true, false
	for _, c := range b[:n] {
		blank = blank && isSpace(c)
		line = line || c == '\n'
	}
	if blank && line && !l.inList {
		l.onHeartbeat()
	}
	if l.inList = l.inList || !blank; l.inList {
		l.listBytes += n
	}
	if !blank && l.onListOpen != nil {
		l.onListOpen(true)
	}
	return n, err
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// next is the next list. An error that is not errGarbled is the connection's end.
func (l *listDecoder) next() (*EndpointList, error) {
	// What the decoder has read ahead may be the beginning of it.
	ahead, _ := io.ReadAll(l.decoder.Buffered())
	l.inList, l.listBytes = false, 0
	for _, c := range ahead {
		l.inList = l.inList || !isSpace(c)
	}
	if l.inList {
		l.listBytes = len(ahead)
	}
	if l.lastListBytes > maxKeptBuffer { // its buffer would be kept
		l.decoder = json.NewDecoder(&prefixedReader{ahead, l})
	}
	before := l.decoder.InputOffset()
	var text json.RawMessage
	err := l.decoder.Decode(&text)
	l.lastListBytes = int(l.decoder.InputOffset() - before)
	if l.onListOpen != nil {
		l.onListOpen(false)
	}
	var bad *json.SyntaxError
	if errors.As(err, &bad) {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if err != nil {
		return nil, err
	}
	list, err := decodeList(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return list, nil
}

// prefixedReader reads what was read ahead first, and then what follows.
type prefixedReader struct {
	prefix []byte
	rest   io.Reader
}

func (b *prefixedReader) Read(p []byte) (int, error) {
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return n, nil
	}
	return b.rest.Read(p)
}
