package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

// WriteJSON writes the report as indented JSON, which ReadJSON reads.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

// ReadJSON reads and checks a report in JSON. An error in the JSON itself states the byte
// offset.
func ReadJSON(in io.Reader) (*Report, error) {
	text, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("report: read: %w", err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("report: larger than the limit of %d bytes", maxFileBytes)
	}
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		var syntax *json.SyntaxError
		var wrongType *json.UnmarshalTypeError
		switch {
		case errors.As(err, &syntax):
			return nil, fmt.Errorf("report: byte %d: %w", syntax.Offset, err)
		case errors.As(err, &wrongType):
			return nil, fmt.Errorf("report: byte %d: field %q: %w", wrongType.Offset, wrongType.Field, err)
		}
		return nil, fmt.Errorf("report: decode JSON: %w", err)
	}
	switch {
	case r.Format != formatName:
		return nil, fmt.Errorf("report: not a report: format %.40q, want %q", r.Format, formatName)
	case r.Version > Version:
		return nil, fmt.Errorf("report: version %d, but this release reads up to %d", r.Version, Version)
	case r.Version < 1:
		return nil, fmt.Errorf("report: version %d, want 1 to %d", r.Version, Version)
	}
	for _, v := range append(slices.Clone(r.Runs), r.Service.ServiceRatio, r.WorstWindow.ServiceRatio) {
		if !(v >= 0 && v <= 1+1e-9) {
			return nil, fmt.Errorf("report: a service of %v, want 0 to 1", v)
		}
	}
	return r, nil
}

// Load reads a report from a file.
func Load(path string) (*Report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return ReadJSON(f)
}

// maxFileBytes limits the memory that reading a report takes.
const maxFileBytes = 64 << 20
