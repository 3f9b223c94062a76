package policystate

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"troutusher/internal/core"
)

// Guards against a change of the stored format: files of earlier releases must decode to
// the same values and encode to the same bytes, so that no key is lost or changes its
// meaning.
func TestStoredForms(t *testing.T) {
	for _, c := range []struct {
		name    string
		partial bool
		clean   bool
		unset   []string // keys that the file leaves out
	}{
		{name: "whole", clean: true, unset: []string{"state.partial"}},
		{
			name: "partial", partial: true,
			unset: []string{"boot", "clean", "state.members[0].wait_until", "state.waits"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			stored, err := os.ReadFile(filepath.Join("testdata", c.name))
			if err != nil {
				t.Fatal(err)
			}
			f, err := Decode(stored)
			if err != nil {
				t.Fatal(err)
			}
			if f.Relay != "n1" || f.WrittenAt != 1764384020000000 || f.WrittenAtMonotonic != 7000000000 ||
				f.ClockZero != 3000000000 || f.CleanShutdown != c.clean ||
				f.State.Now != 4000000000 || f.State.Revision != 12 || f.State.Partial != c.partial {
				t.Errorf("Decode(%s) = %+v with state %+v, want the values that were written", c.name, f, f.State)
			}
			if m := f.State.Members[0]; m.ID != "s-1" || m.HostPort != "10.0.0.1:80" || m.Dest != 4 ||
				m.Phase != core.Up || m.Number != 3 {
				t.Errorf("Decode(%s): first member = %+v, want member s-1 as written", c.name, m)
			}
			if got := unsetKeys(reflect.ValueOf(f).Elem(), ""); !slices.Equal(got, c.unset) {
				t.Errorf("Decode(%s): unset keys = %q, want %q", c.name, got, c.unset)
			}
			encoded, err := Encode(f)
			if err != nil || !bytes.Equal(encoded, stored) {
				t.Errorf("Encode(Decode(%s)) = %v\n%q\nwant\n%q", c.name, err, encoded, stored)
			}
		})
	}
}

// unsetKeys returns the JSON paths of the fields in v that have their zero value. path is
// the path of v itself.
func unsetKeys(v reflect.Value, path string) (unset []string) {
	if v.IsZero() {
		return []string{path}
	}
	switch v.Kind() {
	case reflect.Pointer:
		return unsetKeys(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if key == "-" { // not stored
				continue
			}
			key = strings.Trim(path+"."+key, ".") // an embedded struct has no key of its own
			unset = append(unset, unsetKeys(v.Field(i), key)...)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			unset = append(unset, unsetKeys(v.Index(i), path+"["+strconv.Itoa(i)+"]")...)
		}
	}
	return unset
}

// Guards against the use of a damaged file: a changed byte at any position and a
// truncation at any length must give an error.
func TestDamageAtEachByte(t *testing.T) {
	b, err := Encode(sampleFile("n1"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range b {
		for _, flip := range []byte{1, 0x80, 0xff} {
			c := bytes.Clone(b)
			c[i] ^= flip
			if _, err := Decode(c); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewerVersion) {
				t.Fatalf("Decode(byte %d ^ %#x) = %v, want %v or %v", i, flip, err, ErrDamaged, ErrNewerVersion)
			}
		}
		if _, err := Decode(b[:i]); !errors.Is(err, ErrDamaged) {
			t.Fatalf("Decode(first %d bytes) = %v, want %v", i, err, ErrDamaged)
		}
	}
	if _, err := Decode(append(bytes.Clone(b), 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("Decode(one byte appended) = %v, want %v", err, ErrDamaged)
	}
}

// Guards against times of the file that are converted wrongly to the reader's clock: the
// monotonic clock must be used within the same boot and the wall clock otherwise. A wall
// clock that was set back must not shorten any wait.
func TestClockShift(t *testing.T) {
	f := sampleFile("n1") // written at time 4e9 of a clock that was 0 at the monotonic time 3e9
	for name, c := range map[string]struct {
		monotonic, wall int64
		boot            string
		age             int64 // of the file, as the reader's clock shows it
	}{
		"same boot":                         {7e9 + 2e6, 5e15 + 2e6, "b", 2e6},
		"same boot, wall clock set back":    {7e9 + 2e6, 5e15 - 9e9, "b", 2e6},
		"another boot":                      {4e6, 5e15 + 30e6, "c", 30e6},
		"boot unknown":                      {4e6, 5e15 + 30e6, "", 30e6},
		"another boot, wall clock set back": {4e6, 5e15 - 30e6, "c", 0},
		"same boot, monotonic clock lower":  {6e9, 5e15 + 8e6, "b", 8e6},
	} {
		zero := c.monotonic - 3600e6 // the reader's clock shows one hour
		now := c.monotonic - zero
		if age := now - (f.State.Now + f.ClockShift(zero, c.monotonic, c.wall, c.boot)); age != c.age {
			t.Errorf("%s: ClockShift gives an age of %d µs, want %d", name, age, c.age)
		}
	}
}

// Guards against a crash on arbitrary content, and against a file that is accepted although
// parts of the state are missing.
func FuzzDecode(f *testing.F) {
	b, err := Encode(sampleFile("n1"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded, err := Decode(b)
		if err != nil {
			return
		}
		if decoded.State == nil || decoded.State.Policy == nil {
			t.Errorf("Decode(%q) = a file without state, want an error", b)
		}
		if encoded, err := Encode(decoded); err != nil || len(encoded) == 0 {
			t.Errorf("Encode(Decode(%q)) = %d bytes, %v, want the encoded file", b, len(encoded), err)
		}
	})
}
