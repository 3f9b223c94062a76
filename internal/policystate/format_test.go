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

// Files as earlier processes wrote them are read, and written again to the same
// bytes: no key is lost and none has another meaning.
func TestStoredForms(t *testing.T) {
	for _, c := range []struct {
		name    string
		partial bool
		clean   bool
		unset   []string // fields that the file leaves out
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
				t.Errorf("got %+v, %+v", f, f.State)
			}
			if m := f.State.Members[0]; m.ID != "s-1" || m.HostPort != "10.0.0.1:80" || m.Dest != 4 ||
				m.Phase != core.Up || m.Number != 3 {
				t.Errorf("got %+v", m)
			}
			if got := unset(reflect.ValueOf(f).Elem(), ""); !slices.Equal(got, c.unset) {
				t.Errorf("left out: %q, want %q", got, c.unset)
			}
			again, err := Encode(f)
			if err != nil || !bytes.Equal(again, stored) {
				t.Errorf("written again: %v\n%q\nwas\n%q", err, again, stored)
			}
		})
	}
}

// unset names the keys of fields that have their zero value.
func unset(v reflect.Value, at string) (names []string) {
	if v.IsZero() {
		return []string{at}
	}
	switch v.Kind() {
	case reflect.Pointer:
		return unset(v.Elem(), at)
	case reflect.Struct:
		for i := range v.NumField() {
			key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			key = strings.Trim(at+"."+key, ".") // an embedded struct has no key of its own
			names = append(names, unset(v.Field(i), key)...)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			names = append(names, unset(v.Index(i), at+"["+strconv.Itoa(i)+"]")...)
		}
	}
	return names
}

// Damage at any byte, and an end at any length, is an error: nothing else than
// what was written is ever read.
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
				t.Fatalf("byte %d: %v", i, err)
			}
		}
		if _, err := Decode(b[:i]); !errors.Is(err, ErrDamaged) {
			t.Fatalf("%d bytes: %v", i, err)
		}
	}
	if _, err := Decode(append(bytes.Clone(b), 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("one byte more: %v", err)
	}
}

// The moments of a file lie right on the reader's clock: by the monotonic clock
// in the same boot, by the wall clock else; one that went back shortens nothing.
func TestClockShift(t *testing.T) {
	f := sampleFile("n1") // written at moment 4e9 of a clock whose moment 0 was mono 3e9
	for name, c := range map[string]struct {
		monotonic, wall int64
		boot            string
		ago             int64 // how long ago it was written, as read
	}{
		"same boot":                   {7e9 + 2e6, 5e15 + 2e6, "b", 2e6},
		"same boot, wall clock jumps": {7e9 + 2e6, 5e15 - 9e9, "b", 2e6},
		"another boot":                {4e6, 5e15 + 30e6, "c", 30e6},
		"no boot is told":             {4e6, 5e15 + 30e6, "", 30e6},
		"another boot, clock back":    {4e6, 5e15 - 30e6, "c", 0},
		"monotonic clock went back":   {6e9, 5e15 + 8e6, "b", 8e6},
	} {
		zero := c.monotonic - 3600e6 // the reader's clock begins at an hour
		now := c.monotonic - zero
		if ago := now - (f.State.Now + f.ClockShift(zero, c.monotonic, c.wall, c.boot)); ago != c.ago {
			t.Errorf("%s: written %d µs ago, want %d", name, ago, c.ago)
		}
	}
}

// Whatever a file holds, it is read whole or not at all.
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
			t.Error("no state, and no error")
		}
		if again, err := Encode(decoded); err != nil || len(again) == 0 {
			t.Error(err)
		}
	})
}
