// Package wire encodes and decodes the binary frames that a simulator exchanges with a relay host, and
// decodes the settings text in them. It checks every length, offset and code of its input and takes no
// delivery decision. Codes and fields are named as in the protocol.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes in bytes.
const (
	batchHeader = 16 // clock, length of the body, number of records
	replyHeader = 8  // length of the body, number of records
	maxBody     = 1 << 30
)

// be is the byte order of all numbers in frames.
var be = binary.BigEndian

// ReadBatch reads and decodes one frame from the simulator: its clock and a batch of events. It returns io.EOF if the
// input ends before the frame's first byte.
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
	// ReadAll grows its buffer with the input: a corrupt length cannot allocate memory for bytes that never arrive.
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

// tailBytes returns the part of a frame's tail that a field refers to. The field holds an offset in bytes and a
// length in units; unit is the size of one unit in bytes.
func tailBytes(tail, field []byte, unit int) ([]byte, error) {
	offset, n := uint64(be.Uint32(field)), uint64(be.Uint32(field[4:]))
	if offset > uint64(len(tail)) || n*uint64(unit) > uint64(len(tail))-offset {
		return nil, fmt.Errorf("offset %d and length %d lie outside the tail of %d bytes", offset, n, len(tail))
	}
	return tail[offset : offset+n*uint64(unit)], nil
}

// AppendReply encodes actions as a reply frame and appends it to dst.
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
