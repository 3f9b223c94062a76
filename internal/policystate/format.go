// Package policystate keeps what a relay has learned of its destinations in a file
// that outlasts the process: versioned, checksummed, replaced as a whole.
//
// It owns the file's form, when it is due and how much of the disk it may take.
// It must never decide what a field means or how it ages: that is the policy's.
package policystate

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"troutusher/internal/core"
)

// The form of the file: the magic, the version, the payload's length and its
// xxHash64 (seed 0), all big-endian, then the payload: File as JSON.
const (
	magic          = "\xf7TRL"
	version        = 1
	versionOffset  = 4
	lengthOffset   = 8
	checksumOffset = 12
	headerSize     = 20
)

// Reasons for which a file that is there cannot be used.
var (
	ErrDamaged      = errors.New("damaged")
	ErrNewerVersion = errors.New("of a newer version")
	ErrOtherRelay   = errors.New("of another relay")
)

// File is what it holds.
type File struct {
	Relay string `json:"relay"` // the name of the relay that wrote it
	// When it was written: in Unix µs, and in µs of the machine's monotonic clock in
	// the boot that BootID names. ClockZero is moment 0 of the core's clock on the
	// latter.
	WrittenAt          int64  `json:"wall"`
	WrittenAtMonotonic int64  `json:"mono"`
	ClockZero          int64  `json:"zero"`
	BootID             string `json:"boot,omitempty"`
	// CleanShutdown says that nothing was learned after it was written.
	CleanShutdown bool                `json:"clean"`
	State         *core.StateSnapshot `json:"state"`
}

// Encode makes the bytes of a file.
func Encode(f *File) ([]byte, error) {
	payload, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("learned: %w", err)
	}
	b := make([]byte, 0, headerSize+len(payload))
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...), nil
}

// Decode reads the bytes of a file. Its errors wrap ErrDamaged or ErrNewerVersion.
func Decode(b []byte) (*File, error) {
	payload, err := checkedPayload(b)
	if err != nil {
		return nil, fmt.Errorf("learned: %w", err)
	}
	f := &File{}
	if err := json.Unmarshal(payload, f); err != nil {
		return nil, fmt.Errorf("learned: %w: %w", ErrDamaged, err)
	}
	if f.State == nil || f.State.Now <= 0 || f.State.Policy == nil {
		return nil, fmt.Errorf("learned: %w: no state", ErrDamaged)
	}
	return f, nil
}

// checkedPayload is what follows the header of a file, if that holds for it.
func checkedPayload(b []byte) ([]byte, error) {
	if len(b) < headerSize || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: no head", ErrDamaged)
	}
	switch v := binary.BigEndian.Uint32(b[versionOffset:]); {
	case v > version:
		return nil, fmt.Errorf("%w: %d, this program reads up to %d", ErrNewerVersion, v, version)
	case v == 0:
		return nil, fmt.Errorf("%w: version 0", ErrDamaged)
	}
	payload := b[headerSize:]
	if length := binary.BigEndian.Uint32(b[lengthOffset:]); int64(length) != int64(len(payload)) {
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrDamaged, len(payload), length)
	}
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(b[checksumOffset:]) {
		return nil, fmt.Errorf("%w: checksum", ErrDamaged)
	}
	return payload, nil
}

// ClockShift is what is to be added to the moments of a file, to have them on the
// clock of the process that reads it. zero is moment 0 of that clock on the
// machine's monotonic one, monotonic and wall are now, all in µs, and bootID names
// the boot.
//
// Within a boot the monotonic clock tells how long ago the file was written, else
// the wall clock. One that went back tells nothing: then no time has passed, so
// that no wait is shorter for it.
func (f *File) ClockShift(zero, monotonic, wall int64, bootID string) int64 {
	if f.BootID != "" && f.BootID == bootID && monotonic >= f.WrittenAtMonotonic {
		return f.ClockZero - zero
	}
	passed := max(wall-f.WrittenAt, 0)
	return (monotonic - zero) - passed - f.State.Now
}
