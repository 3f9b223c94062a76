package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"troutusher/internal/core"
)

// errMalformed is a list that cannot be decoded, or is too long.
var errMalformed = errors.New("discovery: malformed")

// decodeList decodes and checks one list, complete or a change.
func decodeList(text []byte) (*core.EndpointList, error) {
	list := &core.EndpointList{}
	if err := json.Unmarshal(text, list); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if list.Members == nil {
		return nil, errors.New("discovery: no members")
	}
	for i := range list.Members {
		if err := list.Members[i].Check(); err != nil {
			return nil, fmt.Errorf("discovery: %w", err)
		}
	}
	return list, nil
}

// maxKeptBuffer bounds the bytes of a list that its reader may keep for the next one: a
// watch lasts for days.
const maxKeptBuffer = 64 << 10

// listDecoder reads the lists of a watch from its body: JSON objects with white space
// between and within them, over any number of lines. What is not one is found at its
// first wrong byte. Between two lists an empty line is a heartbeat; within one it is part
// of it, so that a list that never ends does not keep its watch alive.
type listDecoder struct {
	body        io.Reader
	decoder     *json.Decoder
	maxBytes    int    // of one list
	onHeartbeat func() // called for an empty line between two lists
	onListBytes func() // called as bytes of a list come; may be nil
	onListEnd   func() // called as one is over; may be nil

	inList        bool // one has begun
	listBytes     int  // since the one before ended
	lastListBytes int  // of the last one
}

func newListDecoder(body io.Reader, maxBytes int, onHeartbeat func()) *listDecoder {
	l := &listDecoder{body: body, maxBytes: maxBytes, onHeartbeat: onHeartbeat}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read is called by the JSON decoder.
func (l *listDecoder) Read(b []byte) (int, error) {
	if l.listBytes > l.maxBytes {
		return 0, fmt.Errorf("%w: a list of more than %d bytes", errMalformed, l.maxBytes)
	}
	n, err := l.body.Read(b)
	blank, newline := scanBlank(b[:n])
	if blank && newline && !l.inList {
		l.onHeartbeat()
	}
	l.inList = l.inList || !blank
	if l.inList {
		l.listBytes += n
	}
	if !blank && l.onListBytes != nil {
		l.onListBytes()
	}
	return n, err
}

// scanBlank reports whether text is white space alone, and has a newline.
func scanBlank(text []byte) (blank, newline bool) {
	blank = true
	for _, c := range text {
		blank = blank && isSpace(c)
		newline = newline || c == '\n'
	}
	return blank, newline
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// next is the next list. An error that is not errMalformed is the connection's end.
func (l *listDecoder) next() (*core.EndpointList, error) {
	l.beginList()
	start := l.decoder.InputOffset()
	var text json.RawMessage
	err := l.decoder.Decode(&text)
	l.lastListBytes = int(l.decoder.InputOffset() - start)
	if l.onListEnd != nil {
		l.onListEnd()
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
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

// beginList starts the count of a list. What the JSON decoder has read ahead may be the
// beginning of it.
func (l *listDecoder) beginList() {
	ahead, err := io.ReadAll(l.decoder.Buffered())
	if err != nil {
		ahead = nil // it reads from memory, and cannot fail
	}
	blank, _ := scanBlank(ahead)
	l.inList, l.listBytes = !blank, 0
	if l.inList {
		l.listBytes = len(ahead)
	}
	if l.lastListBytes > maxKeptBuffer { // the decoder would keep its buffer
		l.decoder = json.NewDecoder(&prefixedReader{ahead, l})
	}
}

// prefixedReader reads a prefix first, and then the rest.
type prefixedReader struct {
	prefix []byte
	rest   io.Reader
}

// Read is io.Reader's.
func (r *prefixedReader) Read(p []byte) (int, error) {
	if len(r.prefix) > 0 {
		n := copy(p, r.prefix)
		r.prefix = r.prefix[n:]
		return n, nil
	}
	return r.rest.Read(p)
}
