package policystate

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"troutusher/internal/core"
	"troutusher/policy"
)

func sampleFile(relay string) *File {
	return &File{
		Relay:              relay,
		WrittenAt:          5e15,
		WrittenAtMonotonic: 7e9,
		ClockZero:          3e9,
		BootID:             "b",
		State: &core.StateSnapshot{
			Now:      4e9,
			Revision: 12,
			Members: []core.HandoverMember{
				{Member: core.Member{ID: "s-1", HostPort: "10.0.0.1:1", Dest: 4, Phase: core.Up}, Number: 3},
			},
			RetryAfters: []core.HandoverRetryAfter{{Dest: 4, Until: 4e9 + 5}},
			Policy: &policy.Snapshot{
				Now: 4e9,
				Limiters: []policy.LimiterSnapshot{
					{
						Destination: 4,
						Window:      2,
						Endpoints:   []policy.EndpointSnapshot{{ID: 3, Unhealthy: true, FailureScore: 0.7}},
					},
				},
			},
		},
	}
}

func fileNames(t *testing.T, dir string) (all []string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		all = append(all, e.Name())
	}
	return all
}

// What is written is read again, and replaces what was there.
func TestWriteThenRead(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(dir, "n1", 3<<20)
	if f, err := s.Read(); f != nil || err != nil {
		t.Fatalf("of nothing: %v %v", f, err)
	}
	for rev := range int64(3) {
		f := sampleFile("")
		f.State.Revision = rev
		if _, err := s.Write(f); err != nil {
			t.Fatal(err)
		}
		got, err := s.Read()
		if err != nil || got.State.Revision != rev || got.Relay != "n1" ||
			got.State.Policy.Limiters[0].Endpoints[0].FailureScore != 0.7 ||
			got.State.Members[0].HostPort != "10.0.0.1:1" ||
			got.State.RetryAfters[0].Until != 4e9+5 {
			t.Fatalf("%+v %v", got, err)
		}
	}
	if got := fileNames(t, dir); !slices.Equal(got, []string{FileName}) {
		t.Errorf("in the folder: %v", got)
	}
}

// What cannot be used is set aside, one file of it at most, and the next write
// and read go on as if there had been none.
func TestRejectedFileIsSetAside(t *testing.T) {
	whole, err := Encode(sampleFile("n1"))
	if err != nil {
		t.Fatal(err)
	}
	newer := bytes.Clone(whole)
	newer[7] = 9
	foreign, err := Encode(sampleFile("n2"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s := NewStore(dir, "n1", 3<<20)
	for what, c := range map[string]struct {
		text []byte
		want error
	}{
		"newer":    {newer, ErrNewerVersion},
		"foreign":  {foreign, ErrOtherRelay},
		"damaged":  {whole[:30], ErrDamaged},
		"empty":    {nil, ErrDamaged},
		"too long": {bytes.Repeat([]byte("x"), 1<<20), ErrDamaged},
	} {
		if err := os.WriteFile(s.Path(), c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		if f, err := s.Read(); f != nil || !errors.Is(err, c.want) {
			t.Errorf("%s: %v %v", what, f, err)
		}
		if got := fileNames(t, dir); !slices.Equal(got, []string{rejectedName}) {
			t.Errorf("%s: in the folder: %v", what, got)
		}
		if fi, err := os.Stat(filepath.Join(dir, rejectedName)); err != nil || fi.Size() > MaxFileBytes(3<<20) {
			t.Errorf("%s: set aside %v %v", what, fi, err)
		}
		if f, err := s.Read(); f != nil || err != nil {
			t.Errorf("%s: again: %v %v", what, f, err)
		}
	}
}

// A kill at any point of a write leaves the old file or the new one, and what it
// left beside is removed at the next start.
func TestKillAtEachPoint(t *testing.T) {
	whole, err := Encode(sampleFile("n1"))
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n <= len(whole); n += 13 {
		dir := t.TempDir()
		s := NewStore(dir, "n1", 3<<20)
		old := sampleFile("")
		old.State.Revision = 1
		if _, err := s.Write(old); err != nil {
			t.Fatal(err)
		}
		unrenamed := filepath.Join(dir, tempPrefix+"123")
		if err := os.WriteFile(unrenamed, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if f, err := s.Read(); err != nil || f.State.Revision != 1 {
			t.Fatalf("after %d bytes: %v %v", n, f, err)
		}
		if got := fileNames(t, dir); !slices.Equal(got, []string{FileName}) {
			t.Errorf("after %d bytes: %v", n, got)
		}
	}
}

// A write that fails leaves the old file, and no other.
func TestWriteFails(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(dir, "n1", 3<<20)
	if _, err := s.Write(sampleFile("")); err != nil {
		t.Fatal(err)
	}
	long := sampleFile("")
	long.State.Members[0].ID = strings.Repeat("x", int(MaxFileBytes(3<<20)))
	if _, err := s.Write(long); !errors.Is(err, ErrTooLarge) {
		t.Errorf("too long: %v", err)
	}
	if f, err := s.Read(); err != nil || f.State.Members[0].ID != "s-1" {
		t.Errorf("%v %v", f, err)
	}
	if _, err := NewStore(filepath.Join(dir, "none"), "n1", 3<<20).Write(sampleFile("")); err == nil {
		t.Error("written where there is no folder")
	}
	if err := os.Remove(s.Path()); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(s.Path(), 0o700); err != nil { // a rename onto it fails
		t.Fatal(err)
	}
	if _, err := s.Write(sampleFile("")); err == nil {
		t.Error("a folder was replaced")
	}
	if got := fileNames(t, dir); !slices.Equal(got, []string{FileName}) {
		t.Errorf("left in the folder: %v", got)
	}
}
