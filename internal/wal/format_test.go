package wal

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"troutusher/internal/core"
)

// recordsOfEachKind is the content of testdata/every_kind.wal: each kind of
// record, and each field of one.
func recordsOfEachKind() []*core.Record {
	return []*core.Record{
		{
			Kind:     core.RecordAccepted,
			ID:       "m-1",
			Class:    "keyed",
			Tenant:   "acme",
			Key:      "key-1",
			Dest:     7,
			Deadline: 1764384020000000,
			Body:     []byte("one\n\x00\xf7TRW"),
		},
		{Kind: core.RecordAccepted, ID: "m-2", Class: "plain", Dest: -3, Deadline: 1764384030000000},
		{Kind: core.RecordAccepted, ID: "m-3", Class: "once", Deadline: 1764384040000000, Body: []byte("three")},
		{
			Kind:     core.RecordAccepted,
			ID:       "m-4",
			Class:    "plain",
			Dest:     4,
			Deadline: 1764384050000000,
			Body:     []byte("four <&>"),
		},
		{
			Kind:     core.RecordAccepted,
			ID:       "m-5",
			Class:    "plain",
			Dest:     5,
			Deadline: 1764384060000000,
			Body:     []byte("five"),
		},
		{Kind: core.RecordAttempt, ID: "m-1", At: 1764384001000000, Zone: 1},
		{Kind: core.RecordOutcome, ID: "m-1", MayHaveRun: true},
		{Kind: core.RecordAttempt, ID: "m-1", At: 1764384002000000},
		{Kind: core.RecordAttempt, ID: "m-2", At: 1764384003000000, Zone: 2},
		{Kind: core.RecordOutcome, ID: "m-2", NotCounted: true},
		{Kind: core.RecordAttempt, ID: "m-3", At: 1764384004000000, Zone: 1},
		{Kind: core.RecordEnding, ID: "m-4", Notice: core.NoticeGivenUp},
		{Kind: core.RecordEnding, ID: "m-5", Notice: core.NoticeHandedBack, RetryMS: 1500},
		{
			Kind:     core.RecordAccepted,
			ID:       "m-6",
			Class:    "plain",
			Dest:     6,
			Deadline: 1764384070000000,
			Body:     []byte("six"),
		},
		{Kind: core.RecordDone, ID: "m-5"},
	}
}

func fixture(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// pendingJSON shows what is pending under the keys of the stored form.
func pendingJSON(t *testing.T, pending []*core.Record) []byte {
	t.Helper()
	type shown struct {
		Record *core.Record `json:"record"`
		Body   []byte       `json:"body"`
	}
	var list []shown
	for _, r := range pending {
		list = append(list, shown{r, r.Body})
	}
	b, err := json.MarshalIndent(list, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(b, '\n')
}

// The bytes of each record are those that earlier processes wrote.
func TestBytesOfEachKind(t *testing.T) {
	dir := t.TempDir()
	w, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, w, recordsOfEachKind()...)
	got, err := os.ReadFile(filepath.Join(dir, "relay.wal"))
	if err != nil {
		t.Fatal(err)
	}
	if want := fixture(t, "every_kind.wal"); !bytes.Equal(got, want) {
		t.Errorf("got\n%q\nwant\n%q", got, want)
	}
}

// What is pending after a start with a stored log, and the compacted log that the
// start leaves.
func TestStoredForms(t *testing.T) {
	for _, c := range []struct {
		name, log, pending, compacted string
		out                           []string // attempts that are known to be out still
	}{
		{"every kind", "every_kind.wal", "every_kind_pending.json", "every_kind_compacted.wal", nil},
		{
			"attempts known to be out", "every_kind.wal", "call_out_pending.json", "call_out_compacted.wal",
			[]string{"m-1", "m-3"},
		},
		{"compacted", "every_kind_compacted.wal", "every_kind_pending.json", "every_kind_compacted.wal", nil},
		{"torn", "torn.wal", "torn_pending.json", "torn_compacted.wal", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "relay.wal")
			if err := os.WriteFile(path, fixture(t, c.log), 0o600); err != nil {
				t.Fatal(err)
			}
			w, pending, err := Open(Options{
				Dir: dir, MaxBytes: 1 << 20, Logger: discardLogger(),
				InFlight: func(id string) bool { return slices.Contains(c.out, id) },
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = w.file.Close() })
			if got, want := pendingJSON(t, pending), fixture(t, c.pending); !bytes.Equal(got, want) {
				t.Errorf("pending\n%s\nwant\n%s", got, want)
			}
			got, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if want := fixture(t, c.compacted); !bytes.Equal(got, want) {
				t.Errorf("compacted\n%q\nwant\n%q", got, want)
			}
		})
	}
}
