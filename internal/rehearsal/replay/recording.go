// Package replay owns the file in which a rehearsal is kept to be played
// again: the scenario with every default written out, the seed, each arrival
// and each fault. It must never draw anything anew: what a file holds is what
// is played, at this release and later ones.
//
// The file is text, a JSON object (RFC 8259) a line: a head, a line for each
// arrival and each fault, and an end with their counts and a SHA-256 (FIPS
// 180-4) over all bytes before it. docs/operators/rehearsal.md has the fields.
package replay

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"

	"troutusher/internal/rehearsal/scenario"
)

// Version is the newest version of the file that is understood.
const Version = 1

const (
	maxLineBytes = 2 << 20
	maxLines     = 4_000_000
)

// Environment says where a rehearsal was recorded. Nothing of it is checked on
// a replay; it explains a difference in service.
type Environment struct {
	Release string `json:"release"`
	Go      string `json:"go"`
	System  string `json:"system"`
	Cores   int    `json:"cores"`
}

type header struct {
	Format      string      `json:"format"`
	Version     int         `json:"version"`
	Seed        uint64      `json:"seed"`
	Environment Environment `json:"environment"`
	Scenario    string      `json:"scenario"` // as a scenario file
}

const formatName = "troutusher-rehearsal"

type record struct {
	Arrival *scenario.Arrival      `json:"arrival,omitempty"`
	Fault   *scenario.PlannedFault `json:"fault,omitempty"`
	End     *footer                `json:"end,omitempty"`
}

type footer struct {
	Arrivals int    `json:"arrivals"`
	Faults   int    `json:"faults"`
	SHA256   string `json:"sha256"`
}

// Error is what is wrong with a file, and where.
type Error struct {
	Line   int   // from 1
	Offset int64 // of the line's first byte
	Err    error
}

// Error names the line and the byte.
func (e *Error) Error() string {
	return fmt.Sprintf("recording: line %d, byte %d: %v", e.Line, e.Offset, e.Err)
}

// Unwrap returns what is wrong there.
func (e *Error) Unwrap() error { return e.Err }

// Errors that a caller may tell apart.
var (
	ErrNewerVersion = errors.New("it was written by a newer release")
	ErrTruncated    = errors.New("it ends too early")
	ErrDamaged      = errors.New("its checksum does not fit")
)

// Write writes a plan.
func Write(w io.Writer, p *scenario.Plan, env Environment) error {
	text, err := p.Scenario.Text()
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	sum := sha256.New()
	out := bufio.NewWriter(io.MultiWriter(w, sum))
	enc := json.NewEncoder(out)
	if err := enc.Encode(header{formatName, Version, p.Seed, env, string(text)}); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	for i := range p.Arrivals {
		if err := enc.Encode(record{Arrival: &p.Arrivals[i]}); err != nil {
			return fmt.Errorf("recording: %w", err)
		}
	}
	for i := range p.Faults {
		if err := enc.Encode(record{Fault: &p.Faults[i]}); err != nil {
			return fmt.Errorf("recording: %w", err)
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	last, err := json.Marshal(record{End: &footer{len(p.Arrivals), len(p.Faults), hex.EncodeToString(sum.Sum(nil))}})
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	if _, err := w.Write(append(last, '\n')); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	return nil
}

// Save writes a file, whole or not at all.
func Save(path string, p *scenario.Plan, env Environment) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".recording-*")
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	defer func() { _ = os.Remove(f.Name()) }() // it is gone where it was moved
	err = Write(f, p, env)
	if err == nil {
		err = f.Chmod(0o644)
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Load reads a file.
func Load(path string) (*scenario.Plan, Environment, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Environment{}, err
	}
	defer func() { _ = f.Close() }()
	return Read(f)
}

// reader reads lines and knows where it is.
type reader struct {
	scanner    *bufio.Scanner
	lineNumber int
	lineOffset int64
	nextOffset int64
	checksum   hash.Hash
}

func (r *reader) readLine() ([]byte, error) {
	if !r.scanner.Scan() {
		r.lineNumber, r.lineOffset = r.lineNumber+1, r.nextOffset
		if err := r.scanner.Err(); err != nil {
			return nil, r.errorHere(err)
		}
		return nil, r.errorHere(ErrTruncated)
	}
	text := r.scanner.Bytes()
	r.lineNumber, r.lineOffset, r.nextOffset = r.lineNumber+1, r.nextOffset, r.nextOffset+int64(len(text))
	return text, nil
}

func (r *reader) errorHere(err error) error { return &Error{r.lineNumber, r.lineOffset, err} }

// decode reads one object and nothing else from a line.
func decode(text []byte, to any, strict bool) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	if strict {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(to); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return ErrTruncated
		}
		return err
	}
	if dec.More() {
		return errors.New("more than one value")
	}
	return nil
}

// Read reads a plan and checks all of it. Errors in the file are of type *Error.
func Read(in io.Reader) (*scenario.Plan, Environment, error) {
	r := &reader{scanner: bufio.NewScanner(in), checksum: sha256.New()}
	r.scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	r.scanner.Split(splitLines)
	h, s, err := r.readHeader()
	if err != nil {
		return nil, Environment{}, err
	}
	p := s.EmptyPlan(h.Seed)
	for {
		done, err := r.readRecord(p)
		if err != nil {
			return nil, h.Environment, err
		}
		if done != nil {
			return p, h.Environment, r.checkFooter(p, done)
		}
	}
}

// readHeader reads the first line and the scenario in it.
func (r *reader) readHeader() (h header, s *scenario.Scenario, err error) {
	text, err := r.readLine()
	if err != nil {
		return h, nil, err
	}
	// The version first: what else a newer head holds is not for this release.
	var v struct {
		Format  string `json:"format"`
		Version int    `json:"version"`
	}
	if err := decode(text, &v, false); err != nil {
		return h, nil, r.errorHere(err)
	}
	switch {
	case v.Format != formatName:
		return h, nil, r.errorHere(fmt.Errorf("not a recording: format %.40q, want %q", v.Format, formatName))
	case v.Version > Version:
		return h, nil, r.errorHere(
			fmt.Errorf("version %d, this release reads up to %d: %w", v.Version, Version, ErrNewerVersion),
		)
	case v.Version < 1:
		return h, nil, r.errorHere(fmt.Errorf("version %d, want 1 to %d", v.Version, Version))
	}
	if err := decode(text, &h, true); err != nil {
		return h, nil, r.errorHere(err)
	}
	if s, err = scenario.Parse("scenario", []byte(h.Scenario)); err != nil {
		return h, nil, r.errorHere(err)
	}
	r.checksum.Write(text)
	return h, s, nil
}

// readRecord reads one more line into the plan, or returns the recording's end.
func (r *reader) readRecord(p *scenario.Plan) (*footer, error) {
	text, err := r.readLine()
	if err != nil {
		return nil, err
	}
	var x record
	if err := decode(text, &x, true); err != nil {
		return nil, r.errorHere(err)
	}
	switch {
	case x.End != nil:
		return x.End, nil
	case x.Arrival != nil:
		err = addArrival(p, x.Arrival)
	case x.Fault != nil:
		if err = x.Fault.Validate(p); err == nil {
			p.Faults = append(p.Faults, *x.Fault)
		}
	default:
		err = errors.New("neither arrival, fault nor end")
	}
	if err == nil && r.lineNumber > maxLines {
		err = fmt.Errorf("more than %d lines", maxLines)
	}
	if err != nil {
		return nil, r.errorHere(err)
	}
	r.checksum.Write(text)
	return nil, nil
}

// addArrival checks an arrival and adds it to the plan.
func addArrival(p *scenario.Plan, a *scenario.Arrival) error {
	if n := len(p.Arrivals); n > 0 && a.At < p.Arrivals[n-1].At {
		return fmt.Errorf("at_us: %d, and the arrival before it is at %d", a.At, p.Arrivals[n-1].At)
	}
	if err := a.Validate(p); err != nil {
		return err
	}
	p.Arrivals = append(p.Arrivals, *a)
	return nil
}

// checkFooter judges the last line.
func (r *reader) checkFooter(p *scenario.Plan, e *footer) error {
	switch {
	case e.Arrivals != len(p.Arrivals) || e.Faults != len(p.Faults):
		return r.errorHere(
			fmt.Errorf("%d arrivals and %d faults were written, %d and %d are here", e.Arrivals, e.Faults,
				len(p.Arrivals), len(p.Faults)),
		)
	case e.SHA256 != hex.EncodeToString(r.checksum.Sum(nil)):
		return r.errorHere(ErrDamaged)
	}
	if r.scanner.Scan() {
		r.lineNumber, r.lineOffset = r.lineNumber+1, r.nextOffset
		return r.errorHere(errors.New("more after the end"))
	}
	return nil
}

// splitLines splits into lines with their ends; a last one without is kept.
func splitLines(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i+1], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}
