// Package policystate stores the state that the policy has learned about destinations in a
// file, so that a restarted relay can continue with it. The file has a version and a
// checksum and is replaced atomically.
//
// The package is responsible for the file's format, the schedule of its writes, and the
// limit of its size. It does not interpret the state: package policy defines its meaning
// and how it ages.
package policystate

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"troutusher/internal/core"
)

// The format of the file: the magic number, the version (four bytes), the length of the
// payload (four bytes), the xxHash64 of the payload with seed 0 (eight bytes), and the
// payload, which is a File as JSON. Numbers are in big-endian order.
const (
	magic          = "\xf7TRL"
	version        = 1
	versionOffset  = 4
	lengthOffset   = 8
	checksumOffset = 12
	headerSize     = 20
)

// Errors for a file that exists but cannot be used.
var (
	ErrDamaged      = errors.New("the file is damaged")
	ErrNewerVersion = errors.New("the file has a newer format version")
	ErrOtherRelay   = errors.New("the file was written by another relay")
)

// File is the content of a policy state file.
type File struct {
	// Relay is the name of the relay that wrote the file.
	Relay string `json:"relay"`
	// WrittenAt is the time of writing, in µs since the Unix epoch.
	WrittenAt int64 `json:"wall"`
	// WrittenAtMonotonic is the time of writing on the machine's monotonic clock, in µs.
	// ClockZero is the monotonic time, in µs, at which the core's clock was 0. Both are
	// valid only until the machine reboots, which changes the BootID.
	WrittenAtMonotonic int64  `json:"mono"`
	ClockZero          int64  `json:"zero"`
	BootID             string `json:"boot,omitempty"`
	// CleanShutdown is true if the process wrote the file when it shut down, after the last
	// change of the state.
	CleanShutdown bool                `json:"clean"`
	State         *core.StateSnapshot `json:"state"`
}

// Encode returns f in the file's format.
func Encode(f *File) ([]byte, error) {
	payload, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode policy state: %w", err)
	}
	b := make([]byte, 0, headerSize+len(payload))
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...), nil
}

// Decode decodes the bytes of a file. Its errors wrap ErrDamaged or ErrNewerVersion.
func Decode(b []byte) (*File, error) {
	payload, err := checkedPayload(b)
	if err != nil {
		return nil, fmt.Errorf("decode policy state: %w", err)
	}
	f := &File{}
	if err := json.Unmarshal(payload, f); err != nil {
		return nil, fmt.Errorf("decode policy state: %w: %w", ErrDamaged, err)
	}
	if f.State == nil || f.State.Now <= 0 || f.State.Policy == nil {
		return nil, fmt.Errorf("decode policy state: %w: it contains no state", ErrDamaged)
	}
	return f, nil
}

// checkedPayload verifies the header of an encoded file and returns its payload.
func checkedPayload(b []byte) ([]byte, error) {
	if len(b) < headerSize || string(b[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: no policy state header", ErrDamaged)
	}
	switch v := binary.BigEndian.Uint32(b[versionOffset:]); {
	case v > version:
		return nil, fmt.Errorf("%w: %d, want at most %d", ErrNewerVersion, v, version)
	case v == 0:
		return nil, fmt.Errorf("%w: format version 0, want at least 1", ErrDamaged)
	}
	payload := b[headerSize:]
	if length := binary.BigEndian.Uint32(b[lengthOffset:]); int64(length) != int64(len(payload)) {
		return nil, fmt.Errorf("%w: payload of %d bytes, want %d", ErrDamaged, len(payload), length)
	}
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(b[checksumOffset:]) {
		return nil, fmt.Errorf("%w: wrong checksum", ErrDamaged)
	}
	return payload, nil
}

// ClockShift returns the duration, in µs, to add to the file's times in order to convert
// them to the core's clock in this process. zero is the monotonic time, in µs, at which
// that clock was 0. monotonic and wall are the current time on the monotonic clock and on
// the wall clock, in µs, and bootID identifies the current boot.
//
// Within the same boot, the age of the file follows from the monotonic clock, otherwise
// from the wall clock. If the wall clock was set back, the age counts as zero, so that no
// Retry-After gets shorter.
func (f *File) ClockShift(zero, monotonic, wall int64, bootID string) int64 {
	if f.BootID != "" && f.BootID == bootID && monotonic >= f.WrittenAtMonotonic {
		return f.ClockZero - zero
	}
	age := max(wall-f.WrittenAt, 0)
	return (monotonic - zero) - age - f.State.Now
}
