package policystate

import (
	"bytes"
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
		{name: "partial", partial: true, unset: []string{"boot", "clean", "state.members[0].wait_until", "state.waits"}},
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
			if f.Relay != "n1" || f.WrittenAt != 1764384020000000 || f.WrittenAtMonotonic != 7000000000 || f.ClockZero != 3000000000 || f.CleanShutdown != c.clean ||
				f.State.Now != 4000000000 || f.State.Revision != 12 || f.State.Partial != c.partial {
				t.Errorf("got %+v, %+v", f, f.State)
			}
			if m := f.State.Members[0]; m.ID != "s-1" || m.HostPort != "10.0.0.1:80" || m.Dest != 4 || m.Phase != core.Up || m.Number != 3 {
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
