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

	rejectedName = FileName + ".bad" // name of the last file that could not be used
	tempPrefix   = "." + FileName    // prefix of the names of incomplete files
	fileMode     = 0o600
)

// MaxCopies is the maximum number of files of up to MaxFileBytes that exist at a time: the
// current file, its replacement while that is being written, and a rejected file.
const MaxCopies = 3

const (
	diskDivisor     = 64      // the file may use 1/64 of the disk limit
	maxBytesOverall = 1 << 20 // upper limit of the file's size on any disk
)

// MaxFileBytes returns the maximum size of the file for a disk limit of diskBytes.
func MaxFileBytes(diskBytes int64) int64 { return min(diskBytes/diskDivisor, maxBytesOverall) }

// ErrTooLarge is returned when the encoded state exceeds MaxFileBytes.
var ErrTooLarge = errors.New("the policy state exceeds its size limit")

// Store reads and writes the policy state file in a state directory.
type Store struct {
	dir      string
	relay    string
	maxBytes int64
}

// NewStore returns the store of the named relay in a state directory with a disk limit of
// diskBytes.
func NewStore(dir, relay string, diskBytes int64) *Store {
	return &Store{dir, relay, MaxFileBytes(diskBytes)}
}

// Path returns the path of the file.
func (s *Store) Path() string { return filepath.Join(s.dir, FileName) }

// Read reads the file. It returns nil and no error if the file does not exist. If the
// file cannot be used, Read renames it, which replaces a file that was renamed earlier,
// and returns an error that wraps ErrDamaged, ErrNewerVersion or ErrOtherRelay.
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
		return nil, fmt.Errorf("read policy state: %w: %.64q, want %.64q", ErrOtherRelay, f.Relay, s.relay)
	}
	return f, nil
}

// readLimited reads the file if it has at most the maximum size. A larger file was not
// written by a Store. It is truncated, so that the rejected file stays within the limit.
func (s *Store) readLimited() ([]byte, error) {
	f, err := os.Open(s.Path())
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, s.maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read policy state: %w", err)
	}
	if int64(len(b)) > s.maxBytes {
		err = fmt.Errorf("read policy state: %w: more than %d bytes", ErrDamaged, s.maxBytes)
		return nil, errors.Join(err, os.Truncate(s.Path(), s.maxBytes))
	}
	return b, nil
}

// setAside renames the file to rejectedName. If that fails, it removes the file.
func (s *Store) setAside() error {
	err := os.Rename(s.Path(), filepath.Join(s.dir, rejectedName))
	if err == nil {
		return nil
	}
	return errors.Join(err, os.Remove(s.Path()))
}

// removeTempFiles removes incomplete files, which a process leaves behind if it is killed
// while it writes.
func (s *Store) removeTempFiles() {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return // the read that follows reports the error
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), tempPrefix) {
			// An error is ignored: the next start tries again.
			_ = os.Remove(filepath.Join(s.dir, e.Name()))
		}
	}
}

// Write sets f.Relay, replaces the file atomically and returns the new file's size in
// bytes. If Write fails, the old file is unchanged.
func (s *Store) Write(f *File) (int, error) {
	f.Relay = s.relay
	b, err := Encode(f)
	if err != nil {
		return 0, err
	}
	if int64(len(b)) > s.maxBytes {
		return 0, fmt.Errorf("write %s: %w: %d bytes, want at most %d", s.Path(), ErrTooLarge, len(b), s.maxBytes)
	}
	p, err := renameio.NewPendingFile(s.Path(), renameio.WithTempDir(s.dir), renameio.WithPermissions(fileMode))
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", s.Path(), err)
	}
	if _, err = p.Write(b); err == nil {
		err = p.CloseAtomicallyReplace()
	}
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", s.Path(), errors.Join(err, p.Cleanup()))
	}
	return len(b), nil
}
