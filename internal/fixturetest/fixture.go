// Package fixturetest lets tests compare their results with recorded files.
package fixturetest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// updateEnv is the environment variable that makes Check write the recorded files.
const updateEnv = "UPDATE_FIXTURES"

// Read returns the contents of a file in the tested package's testdata folder.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Check compares got with a file in the tested package's testdata folder. If the environment variable
// UPDATE_FIXTURES is set, it writes got to the file first.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	if os.Getenv(updateEnv) != "" {
		if err := os.WriteFile(filepath.Join("testdata", name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("testdata/%s:\ngot  %s\nwant %s", name, got, want)
	}
}

// EncodeLines encodes values as JSON, one value per line.
func EncodeLines[T any](t testing.TB, values []T) []byte {
	t.Helper()
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	for i := range values {
		if err := encoder.Encode(values[i]); err != nil {
			t.Fatal(err)
		}
	}
	return text.Bytes()
}
