// Package replay writes and reads recordings: files that hold a rehearsal so that it can
// be played again. A recording has the scenario with every default written out, the seed,
// each arrival and each fault. Reading must never draw anything anew: what a file holds
// is what is played, by this release and later ones.
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

// Version is the newest version of the file that is understood.
const Version = 1

// Bounds of what is read.
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

// header is the first line.
type header struct {
	Format      string      `json:"format"`
	Version     int         `json:"version"`
	Seed        uint64      `json:"seed"`
	Environment Environment `json:"environment"`
	Scenario    string      `json:"scenario"` // as a scenario file
}

// formatName is the header's format.
const formatName = "troutusher-rehearsal"

// record is a line after the header; one of its fields is set.
type record struct {
	Arrival *scenario.Arrival      `json:"arrival,omitempty"`
	Fault   *scenario.PlannedFault `json:"fault,omitempty"`
	End     *footer                `json:"end,omitempty"`
}

// footer is the last line.
type footer struct {
	Arrivals int    `json:"arrivals"`
	Faults   int    `json:"faults"`
	SHA256   string `json:"sha256"`
}

// Write writes a recording of a plan.
func Write(w io.Writer, p *scenario.Plan, env Environment) error {
	if err := write(w, p, env); err != nil {
		return fmt.Errorf("recording: %w", err)
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

// writeBody writes all that the checksum covers.
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

// Save writes a recording to a file, whole or not at all.
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
