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

	"troutusher/internal/rehearsal/scenario"
)

// Load reads a recording from a file.
func Load(path string) (*scenario.Plan, Environment, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Environment{}, err
	}
	defer func() { _ = f.Close() }()
	return Read(f)
}

// reader reads the lines of a recording and keeps track of its position.
type reader struct {
	scanner    *bufio.Scanner
	lineNumber int
	lineOffset int64
	nextOffset int64
	checksum   hash.Hash
}

// readLine returns the next line, including its newline.
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

// errorHere adds the position of the current line to an error.
func (r *reader) errorHere(err error) error { return &Error{r.lineNumber, r.lineOffset, err} }

// decode decodes a line that must hold exactly one JSON value. If strict is set, unknown fields are an
// error.
func decode(text []byte, target any, strict bool) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if strict {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(target); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return ErrTruncated
		}
		return err
	}
	if decoder.More() {
		return errors.New("more than one JSON value in a line")
	}
	return nil
}

// Read reads the plan from a recording and checks the whole recording. Errors in its contents are of
// type *Error.
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
		last, err := r.readRecord(p)
		if err != nil {
			return nil, h.Environment, err
		}
		if last != nil {
			return p, h.Environment, r.checkFooter(p, last)
		}
	}
}

// readHeader reads the header and parses the scenario in it.
func (r *reader) readHeader() (h header, s *scenario.Scenario, err error) {
	text, err := r.readLine()
	if err != nil {
		return h, nil, err
	}
	// Check the version first, because this release cannot interpret the rest of a newer header.
	var identity struct {
		Format  string `json:"format"`
		Version int    `json:"version"`
	}
	if err := decode(text, &identity, false); err != nil {
		return h, nil, r.errorHere(err)
	}
	switch {
	case identity.Format != formatName:
		return h, nil, r.errorHere(fmt.Errorf("not a recording: format %.40q, want %q", identity.Format, formatName))
	case identity.Version > Version:
		return h, nil, r.errorHere(
			fmt.Errorf("version %d, this release reads up to %d: %w", identity.Version, Version, ErrNewerVersion),
		)
	case identity.Version < 1:
		return h, nil, r.errorHere(fmt.Errorf("version %d, want 1 to %d", identity.Version, Version))
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

// readRecord adds the record in the next line to the plan. If the line is the footer, it returns the
// footer.
func (r *reader) readRecord(p *scenario.Plan) (*footer, error) {
	text, err := r.readLine()
	if err != nil {
		return nil, err
	}
	var line record
	if err := decode(text, &line, true); err != nil {
		return nil, r.errorHere(err)
	}
	switch {
	case line.End != nil:
		return line.End, nil
	case line.Arrival != nil:
		err = addArrival(p, line.Arrival)
	case line.Fault != nil:
		if err = line.Fault.Validate(p); err == nil {
			p.Faults = append(p.Faults, *line.Fault)
		}
	default:
		err = errors.New("record holds neither an arrival, a fault nor the end")
	}
	if err == nil && r.lineNumber > maxLines {
		err = fmt.Errorf("recording has more than %d lines", maxLines)
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
		return fmt.Errorf("at_us: %d, want %d or more, the time of the previous arrival", a.At, p.Arrivals[n-1].At)
	}
	if err := a.Validate(p); err != nil {
		return err
	}
	p.Arrivals = append(p.Arrivals, *a)
	return nil
}

// checkFooter compares the footer with the records read, and checks that nothing follows it.
func (r *reader) checkFooter(p *scenario.Plan, last *footer) error {
	switch {
	case last.Arrivals != len(p.Arrivals) || last.Faults != len(p.Faults):
		return r.errorHere(
			fmt.Errorf("footer states %d arrivals and %d faults, recording holds %d and %d", last.Arrivals, last.Faults,
				len(p.Arrivals), len(p.Faults)),
		)
	case last.SHA256 != hex.EncodeToString(r.checksum.Sum(nil)):
		return r.errorHere(ErrDamaged)
	}
	if r.scanner.Scan() {
		r.lineNumber, r.lineOffset = r.lineNumber+1, r.nextOffset
		return r.errorHere(errors.New("data after the footer"))
	}
	return nil
}

// splitLines is a bufio.SplitFunc that keeps the newlines. The last line may lack one.
func splitLines(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i+1], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}
