// Package policystate stores what the policy has learned of its destinations in a
// file, so that a restarted relay does not begin from nothing. The file is versioned,
// has a checksum and is replaced atomically.
//
// The package owns the file's format, the schedule of its writes, and its limit of
// disk space. It must never interpret the state: its meaning and its aging belong to
// the policy.
package policystate

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"troutusher/internal/core"
)

// The format of the file: the magic, the version (four bytes), the length of the
// payload (four bytes), its xxHash64 with seed 0 (eight bytes), all in big-endian
// order, and the payload, which is a File as JSON.
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
	ErrDamaged      = errors.New("damaged")
	ErrNewerVersion = errors.New("of a newer version")
	ErrOtherRelay   = errors.New("of another relay")
)

// File is the content of the file.
type File struct {
	// Relay is the name of the relay that wrote the file.
	Relay string `json:"relay"`
	// WrittenAt is the time of writing, in µs since the Unix epoch.
	WrittenAt int64 `json:"wall"`
	// WrittenAtMonotonic is the time of writing on the machine's monotonic clock, in
	// µs, and ClockZero the time 0 of the core's clock on it. Both are valid within
	// the boot of BootID.
	WrittenAtMonotonic int64  `json:"mono"`
	ClockZero          int64  `json:"zero"`
	BootID             string `json:"boot,omitempty"`
	// CleanShutdown says that nothing was learned after the write.
	CleanShutdown bool                `json:"clean"`
	State         *core.StateSnapshot `json:"state"`
}

// Encode returns the encoded file.
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

// Decode decodes a file. Its errors wrap ErrDamaged or ErrNewerVersion.
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

// checkedPayload verifies the header of an encoded file and returns its payload.
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

// ClockShift returns the duration, in µs, that converts times of the file to the
// core's clock in this process. zero is the time 0 of that clock on the machine's
// monotonic clock, monotonic and wall are the present time on both, in µs, and
// bootID is the present boot.
//
// The age of the file is known from the monotonic clock in the same boot, and else
// from the wall clock. If that clock was set back, the age counts as zero, so that no
// Retry-After gets shorter.
func (f *File) ClockShift(zero, monotonic, wall int64, bootID string) int64 {
	if f.BootID != "" && f.BootID == bootID && monotonic >= f.WrittenAtMonotonic {
		return f.ClockZero - zero
	}
	passed := max(wall-f.WrittenAt, 0)
	return (monotonic - zero) - passed - f.State.Now
}
