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

// Guards against a write that loses data or does not replace the previous file.
func TestWriteThenRead(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(dir, "n1", 3<<20)
	if f, err := s.Read(); f != nil || err != nil {
		t.Fatalf("Read() without a file = %v, %v, want nil, nil", f, err)
	}
	for revision := range int64(3) {
		f := sampleFile("")
		f.State.Revision = revision
		if _, err := s.Write(f); err != nil {
			t.Fatal(err)
		}
		got, err := s.Read()
		if err != nil || got.State.Revision != revision || got.Relay != "n1" ||
			got.State.Policy.Limiters[0].Endpoints[0].FailureScore != 0.7 ||
			got.State.Members[0].HostPort != "10.0.0.1:1" ||
			got.State.RetryAfters[0].Until != 4e9+5 {
			t.Fatalf("Read() after writing revision %d = %+v, %v, want the written file", revision, got, err)
		}
	}
	if got := fileNames(t, dir); !slices.Equal(got, []string{FileName}) {
		t.Errorf("files after the writes = %v, want only %s", got, FileName)
	}
}

// Guards against a file that cannot be used and stops the relay or fills the disk: Read
// must rename it, keep only the last such file, and then behave as if there were no file.
func TestRejectedFileIsSetAside(t *testing.T) {
	encoded, err := Encode(sampleFile("n1"))
	if err != nil {
		t.Fatal(err)
	}
	newer := bytes.Clone(encoded)
	newer[7] = 9 // the format version
	otherRelay, err := Encode(sampleFile("n2"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s := NewStore(dir, "n1", 3<<20)
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"newer format version": {newer, ErrNewerVersion},
		"another relay":        {otherRelay, ErrOtherRelay},
		"truncated":            {encoded[:30], ErrDamaged},
		"empty":                {nil, ErrDamaged},
		"too large":            {bytes.Repeat([]byte("x"), 1<<20), ErrDamaged},
	} {
		if err := os.WriteFile(s.Path(), c.text, 0o600); err != nil {
			t.Fatal(err)
		}
		if f, err := s.Read(); f != nil || !errors.Is(err, c.want) {
			t.Errorf("%s: Read() = %v, %v, want nil, %v", name, f, err, c.want)
		}
		if got := fileNames(t, dir); !slices.Equal(got, []string{rejectedName}) {
			t.Errorf("%s: files after Read = %v, want only %s", name, got, rejectedName)
		}
		if fi, err := os.Stat(filepath.Join(dir, rejectedName)); err != nil || fi.Size() > MaxFileBytes(3<<20) {
			t.Errorf("%s: Stat(%s) = %v, %v, want at most %d bytes", name, rejectedName, fi, err, MaxFileBytes(3<<20))
		}
		if f, err := s.Read(); f != nil || err != nil {
			t.Errorf("%s: second Read() = %v, %v, want nil, nil", name, f, err)
		}
	}
}

// Guards against a loss of the old file if a process is killed while it writes a new one.
// The next start must read the old file and remove the incomplete one.
func TestKillAtEachPoint(t *testing.T) {
	encoded, err := Encode(sampleFile("n1"))
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n <= len(encoded); n += 13 {
		dir := t.TempDir()
		s := NewStore(dir, "n1", 3<<20)
		old := sampleFile("")
		old.State.Revision = 1
		if _, err := s.Write(old); err != nil {
			t.Fatal(err)
		}
		tempFile := filepath.Join(dir, tempPrefix+"123")
		if err := os.WriteFile(tempFile, encoded[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if f, err := s.Read(); err != nil || f.State.Revision != 1 {
			t.Fatalf("Read() after a kill at byte %d = %v, %v, want the old file", n, f, err)
		}
		if got := fileNames(t, dir); !slices.Equal(got, []string{FileName}) {
			t.Errorf("files after a kill at byte %d = %v, want only %s", n, got, FileName)
		}
	}
}

// Guards against a failed write that damages the old file or leaves other files behind.
func TestWriteFails(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(dir, "n1", 3<<20)
	if _, err := s.Write(sampleFile("")); err != nil {
		t.Fatal(err)
	}
	tooLarge := sampleFile("")
	tooLarge.State.Members[0].ID = strings.Repeat("x", int(MaxFileBytes(3<<20)))
	if _, err := s.Write(tooLarge); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Write(file beyond the limit) = %v, want %v", err, ErrTooLarge)
	}
	if f, err := s.Read(); err != nil || f.State.Members[0].ID != "s-1" {
		t.Errorf("Read() after a failed write = %v, %v, want the old file", f, err)
	}
	if _, err := NewStore(filepath.Join(dir, "none"), "n1", 3<<20).Write(sampleFile("")); err == nil {
		t.Error("Write to a missing directory = nil, want an error")
	}
	if err := os.Remove(s.Path()); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(s.Path(), 0o700); err != nil { // renaming a file to this path fails
		t.Fatal(err)
	}
	if _, err := s.Write(sampleFile("")); err == nil {
		t.Error("Write over a directory = nil, want an error")
	}
	if got := fileNames(t, dir); !slices.Equal(got, []string{FileName}) {
		t.Errorf("files after failed writes = %v, want only %s", got, FileName)
	}
}
