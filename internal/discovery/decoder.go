package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"troutusher/internal/core"
	"troutusher/internal/registrylist"
)

// errMalformed reports a list that cannot be decoded or is too long.
var errMalformed = errors.New("discovery: malformed list")

// listTooLongError reports a list that is longer than the accepted length. It is an errMalformed.
type listTooLongError struct {
	limit  int   // in bytes
	length int64 // in bytes; -1 if the agent did not announce it
}

// Error implements error.
func (e *listTooLongError) Error() string {
	came := "more"
	if e.length >= 0 {
		came = fmt.Sprintf("%d bytes", e.length)
	}
	return fmt.Sprintf("discovery: list is longer than the limit of %d bytes: the agent sent %s; "+
		"list_mb under [discovery] in the operator's file raises the limit", e.limit, came)
}

// Unwrap implements the interface of errors.Is.
func (e *listTooLongError) Unwrap() error { return errMalformed }

// decodeList decodes and validates one list, complete or a change.
func decodeList(text []byte) (*core.EndpointList, error) {
	var decoded registrylist.List
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, fmt.Errorf("discovery: decode list: %w", err)
	}
	list := decoded.EndpointList()
	if list.Members == nil {
		return nil, errors.New("discovery: list has no field members")
	}
	for i := range list.Members {
		if err := list.Members[i].Check(); err != nil {
			return nil, fmt.Errorf("discovery: validate list: %w", err)
		}
	}
	return list, nil
}

// maxKeptBuffer is the length in bytes of the longest list after which the decoder keeps its
// buffer for the next one. A watch lasts for days, so a larger buffer is not kept.
const maxKeptBuffer = 64 << 10

// listDecoder reads the lists of a watch from the response body: JSON objects with white space
// between and within them, over any number of lines. It reports anything else at the first wrong
// byte. An empty line between two lists is a heartbeat. An empty line within a list is part of
// it, so that a list that never ends does not keep its watch alive.
type listDecoder struct {
	body        io.Reader
	decoder     *json.Decoder
	maxBytes    int    // longest accepted list
	onHeartbeat func() // called for an empty line between two lists
	onListBytes func() // called when bytes of a list arrive; may be nil
	onListEnd   func() // called when a list has ended; may be nil

	inList        bool // a list has begun
	listBytes     int  // bytes read of the current list
	lastListBytes int  // length of the last list
}

func newListDecoder(body io.Reader, maxBytes int, onHeartbeat func()) *listDecoder {
	l := &listDecoder{body: body, maxBytes: maxBytes, onHeartbeat: onHeartbeat}
	l.decoder = json.NewDecoder(l)
	return l
}

// Read implements io.Reader for the JSON decoder.
func (l *listDecoder) Read(b []byte) (int, error) {
	if l.listBytes > l.maxBytes {
		return 0, &listTooLongError{limit: l.maxBytes, length: -1}
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

// scanBlank reports whether text consists only of white space, and whether it has a newline.
func scanBlank(text []byte) (blank, newline bool) {
	blank = true
	for _, c := range text {
		blank = blank && isSpace(c)
		newline = newline || c == '\n'
	}
	return blank, newline
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// next returns the next list. Any error other than errMalformed means that the connection ended.
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
	if len(text) > l.maxBytes { // it was read whole with the last bytes that were allowed
		return nil, &listTooLongError{limit: l.maxBytes, length: int64(len(text))}
	}
	list, err := decodeList(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return list, nil
}

// beginList starts counting the bytes of the next list. The JSON decoder may have read its
// beginning already.
func (l *listDecoder) beginList() {
	ahead, err := io.ReadAll(l.decoder.Buffered())
	if err != nil {
		ahead = nil // cannot happen: Buffered reads from memory
	}
	blank, _ := scanBlank(ahead)
	l.inList, l.listBytes = !blank, 0
	if l.inList {
		l.listBytes = len(ahead)
	}
	if l.lastListBytes > maxKeptBuffer { // a new decoder, since the old one keeps its buffer
		l.decoder = json.NewDecoder(&prefixedReader{ahead, l})
	}
}

// prefixedReader reads the prefix and then the rest.
type prefixedReader struct {
	prefix []byte
	rest   io.Reader
}

// Read implements io.Reader.
func (r *prefixedReader) Read(p []byte) (int, error) {
	if len(r.prefix) > 0 {
		n := copy(p, r.prefix)
		r.prefix = r.prefix[n:]
		return n, nil
	}
	return r.rest.Read(p)
}
