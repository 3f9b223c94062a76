// Package wire is the codec of the binary frames and of the settings text that a relay host speaks. It checks every
// bound and holds no policy. Codes and fields have the protocol's own names.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	batchHeader = 16
	replyHeader = 8
	maxBody     = 1 << 30
)

var be = binary.BigEndian

// ReadBatch reads and decodes one frame. A clean end of input gives io.EOF.
func ReadBatch(r io.Reader) (clock uint64, events []Event, err error) {
	var header [batchHeader]byte
	n, err := io.ReadFull(r, header[:])
	if errors.Is(err, io.EOF) {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("batch header: input ended after %d of %d bytes", n, batchHeader)
	}
	size, count := be.Uint32(header[8:]), be.Uint32(header[12:])
	if size > maxBody {
		return 0, nil, fmt.Errorf("batch header: length %d is over %d", size, maxBody)
	}
	if uint64(count)*eventSize > uint64(size) {
		return 0, nil, fmt.Errorf("batch header: %d records do not fit in %d bytes", count, size)
	}
	// Read in bounded steps, so that a corrupt length cannot claim memory the input never fills.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return 0, nil, fmt.Errorf("batch body: %w", err)
	}
	if len(body) < int(size) {
		return 0, nil, fmt.Errorf("batch body: input ended after %d of %d bytes", len(body), size)
	}
	events, err = DecodeEvents(body, int(count))
	return be.Uint64(header[:]), events, err
}

// tailBytes is the part of a frame's tail that a field gives by its offset and its length in units.
func tailBytes(tail, field []byte, unit int) ([]byte, error) {
	offset, n := uint64(be.Uint32(field)), uint64(be.Uint32(field[4:]))
	if offset > uint64(len(tail)) || n*uint64(unit) > uint64(len(tail))-offset {
		return nil, fmt.Errorf("offset %d and length %d lie outside the tail of %d bytes", offset, n, len(tail))
	}
	return tail[offset : offset+n*uint64(unit)], nil
}

// AppendReply encodes a reply frame.
func AppendReply(dst []byte, actions []Action) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, replyHeader+actionSize*len(actions))...)
	tailStart := len(dst)
	for i := range actions {
		record := dst[start+replyHeader+i*actionSize:][:actionSize]
		var err error
		if dst, err = actions[i].encode(record, dst, len(dst)-tailStart); err != nil {
			return nil, err
		}
	}
	be.PutUint32(dst[start:], uint32(len(dst)-start-replyHeader))
	be.PutUint32(dst[start+4:], uint32(len(actions)))
	return dst, nil
}
