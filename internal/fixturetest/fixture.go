// Package fixturetest compares bytes with recorded files in tests.
package fixturetest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// updateEnv has Check record what it gets, in place of comparing.
const updateEnv = "UPDATE_FIXTURES"

// Read returns a file of the package's folder testdata.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Check compares bytes with a file of the package's folder testdata. With
// UPDATE_FIXTURES=1 in the environment it records them there first.
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

// EncodeLines encodes values as JSON, one a line.
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
