// Package replay writes and reads recordings: files from which a rehearsal can be replayed. A
// recording holds the scenario with all defaults written out, the seed, each arrival and each fault.
// Reading a recording generates no arrivals or faults, so that this release and later ones replay
// exactly what the file holds.
//
// The file is text with a JSON object (RFC 8259) on each line: a header, a record for each
// arrival and each fault, and a footer with their counts and a SHA-256 checksum (FIPS
// 180-4) of all bytes before it. docs/operators/rehearsal.md has the fields.
package replay

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"troutusher/internal/rehearsal/scenario"
)

// Version is the newest version of the file format that this release reads.
const Version = 1

// Limits on a recording that is read.
const (
	maxLineBytes = 2 << 20
	maxLines     = 4_000_000
)

// Environment says where a rehearsal was recorded. It is not checked on a replay, but can explain
// differences in the service ratio.
type Environment struct {
	Release string `json:"release"`
	Go      string `json:"go"`
	System  string `json:"system"`
	Cores   int    `json:"cores"`
}

// header is the first line of a recording.
type header struct {
	Format      string      `json:"format"`
	Version     int         `json:"version"`
	Seed        uint64      `json:"seed"`
	Environment Environment `json:"environment"`
	Scenario    string      `json:"scenario"` // text of a scenario file
}

// formatName is the value of Format in the header.
const formatName = "troutusher-rehearsal"

// record is a line after the header. Exactly one of its fields is set.
type record struct {
	Arrival *scenario.Arrival      `json:"arrival,omitempty"`
	Fault   *scenario.PlannedFault `json:"fault,omitempty"`
	End     *footer                `json:"end,omitempty"`
}

// footer is the content of the last line.
type footer struct {
	Arrivals int    `json:"arrivals"`
	Faults   int    `json:"faults"`
	SHA256   string `json:"sha256"`
}

// Write writes a recording of a plan.
func Write(w io.Writer, p *scenario.Plan, env Environment) error {
	if err := write(w, p, env); err != nil {
		return fmt.Errorf("write recording: %w", err)
	}
	return nil
}

func write(w io.Writer, p *scenario.Plan, env Environment) error {
	text, err := p.Scenario.Text()
	if err != nil {
		return err
	}
	checksum := sha256.New()
	out := bufio.NewWriter(io.MultiWriter(w, checksum))
	if err := writeBody(out, p, header{formatName, Version, p.Seed, env, string(text)}); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(record{End: &footer{
		Arrivals: len(p.Arrivals), Faults: len(p.Faults), SHA256: hex.EncodeToString(checksum.Sum(nil)),
	}})
}

// writeBody writes the header and the records, which the checksum covers.
func writeBody(w io.Writer, p *scenario.Plan, h header) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(h); err != nil {
		return err
	}
	for i := range p.Arrivals {
		if err := encoder.Encode(record{Arrival: &p.Arrivals[i]}); err != nil {
			return err
		}
	}
	for i := range p.Faults {
		if err := encoder.Encode(record{Fault: &p.Faults[i]}); err != nil {
			return err
		}
	}
	return nil
}

// Save writes a recording to a file atomically: on an error, the file at path stays as it was.
func Save(path string, p *scenario.Plan, env Environment) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".recording-*")
	if err != nil {
		return fmt.Errorf("create recording: %w", err)
	}
	defer func() { _ = os.Remove(f.Name()) }() // fails if the file has been renamed
	err = Write(f, p, env)
	if err == nil {
		err = f.Chmod(0o644)
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
