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
	// FileName is the file in the state folder.
	FileName = "learned"

	rejectedName = FileName + ".bad" // the last file that could not be used
	tempPrefix   = "." + FileName    // of a file that is being written
	fileMode     = 0o600
)

// MaxCopies is how often MaxFileBytes may be taken at one time: by the file, by the
// one that replaces it, and by one that was set aside.
const MaxCopies = 3

const (
	maxDiskFraction  = 64      // the file may take one byte in so many
	maxBytesAnywhere = 1 << 20 // however large the disk is
)

// MaxFileBytes is how many bytes the file may have in a folder of diskBytes.
func MaxFileBytes(diskBytes int64) int64 { return min(diskBytes/maxDiskFraction, maxBytesAnywhere) }

// ErrTooLarge says that more is known than the file may hold.
var ErrTooLarge = errors.New("learned: more than its share of the disk")

// Store is the file in its folder.
type Store struct {
	dir      string
	relay    string
	maxBytes int64
}

// NewStore makes the store of a relay in a folder that may hold so many bytes.
func NewStore(dir, relay string, diskBytes int64) *Store {
	return &Store{dir, relay, MaxFileBytes(diskBytes)}
}

// Path is where the file lies.
func (s *Store) Path() string { return filepath.Join(s.dir, FileName) }

// Read reads the file; nil without an error where there is none. One that cannot
// be used is set aside, in the place of one set aside before; the error says why.
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

// readLimited reads no more than the file may have. What is longer is not a file of
// this store, and is not kept either.
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

// setAside keeps the file under another name, or removes it where that fails.
func (s *Store) setAside() error {
	err := os.Rename(s.Path(), filepath.Join(s.dir, rejectedName))
	if err == nil {
		return nil
	}
	return errors.Join(err, os.Remove(s.Path()))
}

// removeTempFiles removes what a write left that a kill cut short.
func (s *Store) removeTempFiles() {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return // the read that follows tells
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), tempPrefix) {
			// One that stays takes a little of the disk, and is tried again at the next start.
			_ = os.Remove(filepath.Join(s.dir, e.Name()))
		}
	}
}

// Write replaces the file, and returns how many bytes it wrote. Where it fails the
// old file stays.
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
