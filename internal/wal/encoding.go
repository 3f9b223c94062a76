package wal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"slices"

	"troutusher/internal/core"
)

// The format of a record: the magic number, the length and the CRC-32 (IEEE) of the
// payload, each as four bytes in big-endian order, and the payload. The payload is the
// record as one line of JSON, followed by the message's body.
const (
	magic          = "\xf7TRW"
	lengthOffset   = 4
	checksumOffset = 8
	headerSize     = 12
	maxPayload     = 128 << 10 // bytes; more than any record needs
)

// appendRecord appends the encoded record to a buffer and returns the extended buffer.
func appendRecord(to []byte, r *core.Record) ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return to, fmt.Errorf("encode write-ahead log record of message %q: %w", r.ID, err)
	}
	length := len(line) + 1 + len(r.Body)
	if length > maxPayload {
		return to, fmt.Errorf("encode write-ahead log record of message %q: %d bytes, want at most %d",
			r.ID, length, maxPayload)
	}
	start := len(to)
	to = append(to, magic...)
	to = binary.BigEndian.AppendUint32(to, uint32(length))
	to = append(to, 0, 0, 0, 0) // the checksum, set below
	to = append(to, line...)
	to = append(to, '\n')
	to = append(to, r.Body...)
	checksum := crc32.ChecksumIEEE(to[start+headerSize:])
	binary.BigEndian.PutUint32(to[start+checksumOffset:], checksum)
	return to, nil
}

// decodeRecord decodes the record at the start of text and returns it with its encoded
// size. The size is 0 if text does not start with an intact record.
func decodeRecord(text []byte) (r *core.Record, size int) {
	if len(text) < headerSize || string(text[:len(magic)]) != magic {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(text[lengthOffset:]))
	if length > maxPayload || headerSize+length > len(text) {
		return nil, 0
	}
	payload := text[headerSize : headerSize+length]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(text[checksumOffset:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &core.Record{}
	if !ok || json.Unmarshal(line, r) != nil || r.ID == "" {
		return nil, 0
	}
	r.Body = slices.Clone(body)
	return r, headerSize + length
}
