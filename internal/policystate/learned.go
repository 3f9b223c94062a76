// Package policystate keeps what a relay has learned of its destinations in a file
// that outlasts the process: versioned, checksummed, replaced whole.
//
// It owns the file's form, when it is due and how much of the disk it may take.
// It must never decide what a field means or how it ages: that is decide's word.
package policystate

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"troutusher/internal/core"
)

// The file: a mark, the version, the payload's length and its xxHash64 (seed 0),
// all big-endian, then the payload: File as JSON.
const (
	FileName     = "learned"
	rejectedName = FileName + ".bad" // the last file that could not be used
	magic        = "\xf7TRL"
	version      = 1
	headerSize   = 4 + 4 + 4 + 8
)

// MaxFileBytes is how much of a folder of so many bytes the file may take. With the one
// that replaces it and one set aside, three times as much is kept free for it.
func MaxFileBytes(disk int64) int64 { return min(disk/64, 1<<20) }

// MaxCopies is how often Share may be taken at one time.
const MaxCopies = 3

// File is what it holds.
type File struct {
	Relay string `json:"relay"` // whose it is
	// When it was written: Unix µs, and µs of the machine's monotonic clock in
	// the boot that Boot names. Zero is moment 0 of the core's clock on the latter.
	WrittenAt          int64               `json:"wall"`
	WrittenAtMonotonic int64               `json:"mono"`
	ClockZero          int64               `json:"zero"`
	BootID             string              `json:"boot,omitempty"`
	CleanShutdown      bool                `json:"clean"` // nothing was learned after it
	State              *core.StateSnapshot `json:"state"`
}

// Errors of a file that is there and cannot be used.
var (
	ErrDamaged      = errors.New("damaged")
	ErrNewerVersion = errors.New("of a newer version")
	ErrOtherRelay   = errors.New("of another relay")
)

// Encode makes the file's bytes.
func Encode(f *File) ([]byte, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("learned: %w", err)
	}
	b := make([]byte, 0, headerSize+len(text))
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(text))
	return append(b, text...), nil
}

// Decode reads them.
func Decode(b []byte) (*File, error) {
	if len(b) < headerSize || string(b[:4]) != magic {
		return nil, fmt.Errorf("learned: %w: no head", ErrDamaged)
	}
	if v := binary.BigEndian.Uint32(b[4:]); v > version {
		return nil, fmt.Errorf("learned: %w: %d, this program reads up to %d", ErrNewerVersion, v, version)
	} else if v == 0 {
		return nil, fmt.Errorf("learned: %w: version 0", ErrDamaged)
	}
	text := b[headerSize:]
	if n := binary.BigEndian.Uint32(b[8:]); int64(n) != int64(len(text)) {
		return nil, fmt.Errorf("learned: %w: %d bytes of %d", ErrDamaged, len(text), n)
	}
	if xxhash.Sum64(text) != binary.BigEndian.Uint64(b[12:]) {
		return nil, fmt.Errorf("learned: %w: checksum", ErrDamaged)
	}
	f := &File{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("learned: %w: %v", ErrDamaged, err)
	}
	if f.State == nil || f.State.Now <= 0 || f.State.Policy == nil {
		return nil, fmt.Errorf("learned: %w: no state", ErrDamaged)
	}
	return f, nil
}

// Store is the file in its folder.
type Store struct {
	dir      string
	relay    string
	maxBytes int64
}

// NewStore makes the store of a relay in a folder that may hold so many bytes.
func NewStore(dir, relay string, disk int64) *Store { return &Store{dir, relay, MaxFileBytes(disk)} }

// Path is where the file lies.
func (s *Store) Path() string { return filepath.Join(s.dir, FileName) }

// Read reads the file; nil without an error where there is none. One that cannot
// be used is set aside, in the place of one set aside before, and told.
func (s *Store) Read() (*File, error) {
	s.removeTempFiles()
	b, err := s.readLimited()
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var f *File
	if err == nil {
		if f, err = Decode(b); err == nil && f.Relay != s.relay {
			err = fmt.Errorf("learned: %w: %.64q", ErrOtherRelay, f.Relay)
		}
	}
	if err != nil {
		if e := os.Rename(s.Path(), filepath.Join(s.dir, rejectedName)); e != nil {
			err = errors.Join(err, e, os.Remove(s.Path()))
		}
		return nil, err
	}
	return f, nil
}

// readLimited reads no more than the file may have. What is longer is none of ours, and
// is not kept either.
func (s *Store) readLimited() ([]byte, error) {
	f, err := os.Open(s.Path())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, s.maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("learned: %w", err)
	}
	if int64(len(b)) > s.maxBytes {
		os.Truncate(s.Path(), s.maxBytes)
		return nil, fmt.Errorf("learned: %w: more than %d bytes", ErrDamaged, s.maxBytes)
	}
	return b, nil
}

// removeTempFiles removes what a write left that a kill cut short.
func (s *Store) removeTempFiles() {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), "."+FileName) {
			os.Remove(filepath.Join(s.dir, e.Name()))
		}
	}
}

// ErrTooLarge: more is known than the file may hold.
var ErrTooLarge = errors.New("learned: more than its share of the disk")

// Write replaces the file; what is there stays where it cannot. It returns how
// many bytes it wrote.
func (s *Store) Write(f *File) (int, error) {
	f.Relay = s.relay
	b, err := Encode(f)
	if err != nil {
		return 0, err
	}
	if int64(len(b)) > s.maxBytes {
		return 0, fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, len(b), s.maxBytes)
	}
	p, err := renameio.NewPendingFile(s.Path(), renameio.WithTempDir(s.dir), renameio.WithPermissions(0o600))
	if err != nil {
		return 0, fmt.Errorf("learned: %w", err)
	}
	defer p.Cleanup()
	if _, err := p.Write(b); err != nil {
		return 0, fmt.Errorf("learned: %w", err)
	}
	if err := p.CloseAtomicallyReplace(); err != nil {
		return 0, fmt.Errorf("learned: %w", err)
	}
	return len(b), nil
}
