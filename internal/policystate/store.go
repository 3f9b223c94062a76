package policystate

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
)

const (
	// FileName is the name of the file in the state directory.
	FileName = "learned"

	rejectedName = FileName + ".bad" // the last file that could not be used
	tempPrefix   = "." + FileName    // of files that are being written
	fileMode     = 0o600
)

// MaxCopies is the number of files of up to MaxFileBytes that can exist at a time: the
// file, the one that is to replace it, and one that was set aside.
const MaxCopies = 3

const (
	diskDivisor     = 64      // the file may take this part of the disk
	maxBytesOverall = 1 << 20 // however large the disk is
)

// MaxFileBytes returns the maximum size of the file for a disk limit of diskBytes.
func MaxFileBytes(diskBytes int64) int64 { return min(diskBytes/diskDivisor, maxBytesOverall) }

// ErrTooLarge is returned when the encoded state exceeds MaxFileBytes.
var ErrTooLarge = errors.New("learned: more than its share of the disk")

// Store reads and writes the file in a state directory.
type Store struct {
	dir      string
	relay    string
	maxBytes int64
}

// NewStore returns the store of a relay in a directory with a limit of diskBytes.
func NewStore(dir, relay string, diskBytes int64) *Store {
	return &Store{dir, relay, MaxFileBytes(diskBytes)}
}

// Path returns the path of the file.
func (s *Store) Path() string { return filepath.Join(s.dir, FileName) }

// Read reads the file. It returns nil and no error if there is none. A file that
// cannot be used is renamed, which replaces one that was renamed before, and the error
// wraps ErrDamaged, ErrNewerVersion or ErrOtherRelay.
func (s *Store) Read() (*File, error) {
	s.removeTempFiles()
	f, err := s.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, errors.Join(err, s.setAside())
	}
	return f, nil
}

func (s *Store) read() (*File, error) {
	b, err := s.readLimited()
	if err != nil {
		return nil, err
	}
	f, err := Decode(b)
	if err != nil {
		return nil, err
	}
	if f.Relay != s.relay {
		return nil, fmt.Errorf("learned: %w: %.64q", ErrOtherRelay, f.Relay)
	}
	return f, nil
}

// readLimited reads the file if it has at most the maximum size. A longer one was not
// written by a Store and is truncated.
func (s *Store) readLimited() ([]byte, error) {
	f, err := os.Open(s.Path())
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, s.maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("learned: %w", err)
	}
	if int64(len(b)) > s.maxBytes {
		err = fmt.Errorf("learned: %w: more than %d bytes", ErrDamaged, s.maxBytes)
		return nil, errors.Join(err, os.Truncate(s.Path(), s.maxBytes))
	}
	return b, nil
}

// setAside renames the file, or removes it if that fails.
func (s *Store) setAside() error {
	err := os.Rename(s.Path(), filepath.Join(s.dir, rejectedName))
	if err == nil {
		return nil
	}
	return errors.Join(err, os.Remove(s.Path()))
}

// removeTempFiles removes the files that killed processes were writing.
func (s *Store) removeTempFiles() {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return // the read that follows reports the error
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), tempPrefix) {
			// A file that cannot be removed is tried again at the next start.
			_ = os.Remove(filepath.Join(s.dir, e.Name()))
		}
	}
}

// Write replaces the file atomically and returns its size in bytes. If it fails, the
// old file is unchanged. It sets f.Relay.
func (s *Store) Write(f *File) (int, error) {
	f.Relay = s.relay
	b, err := Encode(f)
	if err != nil {
		return 0, err
	}
	if int64(len(b)) > s.maxBytes {
		return 0, fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, len(b), s.maxBytes)
	}
	p, err := renameio.NewPendingFile(s.Path(), renameio.WithTempDir(s.dir), renameio.WithPermissions(fileMode))
	if err != nil {
		return 0, fmt.Errorf("learned: %w", err)
	}
	if _, err = p.Write(b); err == nil {
		err = p.CloseAtomicallyReplace()
	}
	if err != nil {
		return 0, fmt.Errorf("learned: %w", errors.Join(err, p.Cleanup()))
	}
	return len(b), nil
}
