package wal

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"troutusher/internal/core"
	"troutusher/internal/resp"
)

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func openTestLog(t *testing.T, dir string, maxBytes int64) (*Log, []*core.Record) {
	t.Helper()
	w, pending, err := Open(Options{Dir: dir, MaxBytes: maxBytes, Logger: discardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.file.Close() })
	return w, pending
}

func mustAppend(t *testing.T, w *Log, records ...*core.Record) {
	t.Helper()
	for _, r := range records {
		if err := w.append(r); err != nil {
			t.Fatalf("append(%s record of message %s) = %v", r.Kind, r.ID, err)
		}
	}
}

// accepted returns the record of a message's acceptance.
func accepted(id string, body string) *core.Record {
	return &core.Record{
		Kind:     core.RecordAccepted,
		ID:       id,
		Class:    "keyed",
		Tenant:   "acme",
		Key:      "k",
		Dest:     7,
		Deadline: 1e15,
		Body:     []byte(body),
	}
}

// Guards against the loss of messages or of their state at a restart. A second restart
// reads the compacted log that the first one wrote, and must recover the same.
func TestRecovery(t *testing.T) {
	dir := t.TempDir()
	w, _ := openTestLog(t, dir, 1<<20)
	mustAppend(
		t,
		w,
		accepted("a", "A\n\x00"),
		accepted("b", ""),
		accepted("c", "C"),
		accepted("d", "D"),
		accepted("e", "E"),
		&core.Record{Kind: core.RecordAttempt, ID: "a", At: 100, Zone: 1},
		&core.Record{Kind: core.RecordOutcome, ID: "a", MayHaveRun: false},
		&core.Record{Kind: core.RecordAttempt, ID: "b", At: 200, Zone: 1},
		&core.Record{Kind: core.RecordOutcome, ID: "b", MayHaveRun: true},
		&core.Record{Kind: core.RecordAttempt, ID: "b", At: 300, Zone: 0},
		&core.Record{Kind: core.RecordAttempt, ID: "c", At: 400, Zone: 1}, // no outcome, so it may have run
		&core.Record{Kind: core.RecordDone, ID: "d"},
		&core.Record{Kind: core.RecordEnding, ID: "e", Notice: core.NoticeHandedBack, RetryMS: 20},
	)
	for range 2 {
		_, pending := openTestLog(t, dir, 1<<20)
		var got []string
		for _, r := range pending {
			got = append(got, fmt.Sprintf("%s %s %d %d %s", r.ID, r.Body, r.Attempts, r.FirstUncertainAt, r.Notice))
		}
		want := []string{"a A\n\x00 1 0 ", "b  2 200 ", "c C 1 400 ", "e E 0 0 " + core.NoticeHandedBack}
		if !slices.Equal(got, want) {
			t.Fatalf("Open: pending records = %q, want %q", got, want)
		}
		if r := pending[1]; r.Key != "k" || r.Class != "keyed" || r.Tenant != "acme" || r.Dest != 7 ||
			r.Deadline != 1e15 || r.FirstUncertainZone != 1 {
			t.Errorf("Open: pending record of b = %+v, want every field as written", r)
		}
	}
}

// Guards against the loss of intact records when another record is incomplete, because the
// process was killed while writing it, or damaged. Records that are written after the
// recovery must be readable as well.
func TestDamagedLog(t *testing.T) {
	sizes := []int{}
	writeThree := func(dir string) string {
		w, _ := openTestLog(t, dir, 1<<20)
		sizes = sizes[:0]
		for _, id := range []string{"a", "b", "c"} {
			mustAppend(t, w, accepted(id, "body "+magic+" of "+id))
			sizes = append(sizes, int(w.size))
		}
		return filepath.Join(dir, FileName)
	}
	ids := func(pending []*core.Record) (s string) {
		for _, r := range pending {
			s += r.ID
		}
		return s
	}
	for name, test := range map[string]struct {
		damage func(b []byte) []byte
		want   string
	}{
		"last record ends in its body":    {func(b []byte) []byte { return b[:len(b)-5] }, "ab"},
		"last record ends in its header":  {func(b []byte) []byte { return b[:sizes[1]+6] }, "ab"},
		"body damaged":                    {func(b []byte) []byte { b[sizes[1]-2] ^= 1; return b }, "ac"},
		"length damaged":                  {func(b []byte) []byte { b[sizes[0]+4] ^= 0x7f; return b }, "ac"},
		"magic number damaged":            {func(b []byte) []byte { b[0] ^= 1; return b }, "bc"},
		"garbage before the first record": {func(b []byte) []byte { return append([]byte("noise"), b...) }, "abc"},
		"magic number and garbage only":   {func([]byte) []byte { return []byte(magic + "noise") }, ""},
		"empty":                           {func([]byte) []byte { return nil }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := writeThree(dir)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, test.damage(text), 0o600); err != nil {
				t.Fatal(err)
			}
			w, pending := openTestLog(t, dir, 1<<20)
			if got := ids(pending); got != test.want {
				t.Fatalf("Open: pending messages = %q, want %q", got, test.want)
			}
			mustAppend(t, w, accepted("z", "Z"))
			if _, pending = openTestLog(t, dir, 1<<20); ids(pending) != test.want+"z" {
				t.Errorf("Open after another append: pending messages = %q, want %q", ids(pending), test.want+"z")
			}
		})
	}
}

// Guards against a log that outgrows its disk space: the log and its compacted copy
// together must always stay below the limit. Accepted messages must be finished even when
// no further message fits.
func TestBoundedSize(t *testing.T) {
	const limit = 1 << 20
	dir := t.TempDir()
	w, _ := openTestLog(t, dir, limit)
	body := strings.Repeat("b", resp.MaxBodyBytes)
	n := 0 // messages that fit
	for ; ; n++ {
		if err := w.append(accepted(strconv.Itoa(n), body)); err != nil {
			if !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			break
		}
	}
	if n == 0 {
		t.Fatal("append of the first message = ErrFull, want nil")
	}
	for round := range 3000 { // many more records than fit without compaction
		id := strconv.Itoa(round % n)
		mustAppend(t, w,
			&core.Record{Kind: core.RecordAttempt, ID: id, At: int64(round) + 1},
			&core.Record{Kind: core.RecordOutcome, ID: id, MayHaveRun: true})
		if w.size+w.pending.bytes > limit {
			t.Fatalf("round %d: log of %d bytes and compacted log of up to %d bytes exceed the limit of %d",
				round, w.size, w.pending.bytes, limit)
		}
	}
	if info, err := os.Stat(w.path); err != nil || info.Size() != w.size {
		t.Fatalf("Stat(%s) = %v, %v, want a size of %d", w.path, info, err, w.size)
	}
	for i := range n {
		mustAppend(t, w, &core.Record{Kind: core.RecordDone, ID: strconv.Itoa(i)})
	}
	if w.pending.bytes != 0 {
		t.Errorf("reserved bytes with no pending message = %d, want 0", w.pending.bytes)
	}
	mustAppend(t, w, accepted("next", body))
}

// Guards against a compaction that exceeds the size limit: compaction adds the state of a
// message to its record, and the space for that must be reserved at acceptance.
func TestReservedSizeCoversState(t *testing.T) {
	r := accepted("9b1f03aa5c7e2d41", "body")
	r.Attempts = 255
	r.FirstUncertainAt, r.FirstUncertainZone = 1764384000000000, 9
	r.OpenAttemptAt, r.OpenAttemptZone = 1764384000000000, 9
	r.Notice, r.RetryMS = core.NoticeHandedBack, 2000
	text, err := appendRecord(nil, r)
	if err != nil || int64(len(text)) > reservedSize(r) {
		t.Errorf("appendRecord = %d bytes, %v, want at most the reserved %d", len(text), err, reservedSize(r))
	}
}

// Guards against a crash or a damaged log when a write to the disk fails: append returns
// an error, and the records that were written before stay readable.
func TestWriteFails(t *testing.T) {
	dir := t.TempDir()
	w, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, w, accepted("a", "A"))
	if err := w.file.Close(); err != nil {
		t.Fatal(err)
	}
	if w.append(accepted("b", "B")) == nil {
		t.Fatal("append to a closed file = nil, want an error")
	}
	if w.pending.contains("b") {
		t.Error("message b is pending although its record was not written")
	}
	if err := w.append(&core.Record{Kind: core.RecordAttempt, ID: "b"}); !errors.Is(err, ErrNotPending) {
		t.Errorf("append(attempt of a message that was not written) = %v, want %v", err, ErrNotPending)
	}
	if _, pending := openTestLog(t, dir, 1<<20); len(pending) != 1 {
		t.Errorf("Open: %d pending records, want 1", len(pending))
	}
}

// Guards against a crash on arbitrary content, and against the loss of an intact record
// after damaged content. Content with the magic number may hide the record.
func FuzzReplay(f *testing.F) {
	intact, err := appendRecord(nil, accepted("a", "A"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(intact)
	f.Add([]byte(magic + "\x00\x00\x00\x02"))
	f.Fuzz(func(t *testing.T, b []byte) {
		w := &Log{pending: newPendingSet(), logger: discardLogger()}
		w.replay(append(b, intact...))
		if !w.pending.contains("a") && !strings.Contains(string(b), magic) {
			t.Fatalf("replay(%q + intact record) lost the intact record", b)
		}
	})
}

// Guards the records about endpoints against being lost at a restart, or by a compaction that leaves
// out whatever is not a pending message; a forgotten one must be gone.
func TestEndpointRecordsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	w, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, w,
		&core.Record{Kind: core.RecordEndpoint, ID: "s-2", Revision: 41},
		accepted("s-2", "a message with the same ID"),
		&core.Record{Kind: core.RecordEndpoint, ID: "s-1", Revision: 41},
		&core.Record{Kind: core.RecordEndpoint, ID: "s-3", Address: "10.0.0.3:80", Revision: 41},
		&core.Record{Kind: core.RecordEndpointForgotten, ID: "s-3"},
		&core.Record{Kind: core.RecordEndpoint, ID: "s-2", Address: "10.0.0.2:80", Revision: 42},
		&core.Record{Kind: core.RecordDone, ID: "s-2"},
	)
	for restart := range 2 { // the second one reads the compacted log
		w, pending := openTestLog(t, dir, 1<<20)
		endpoints := w.EndpointRecords()
		if len(pending) != 0 || len(endpoints) != 2 || endpoints[0].ID != "s-1" || endpoints[1].ID != "s-2" ||
			endpoints[1].Address != "10.0.0.2:80" || endpoints[1].Revision != 42 {
			t.Errorf(
				"restart %d: pending = %v, endpoints = %+v, want none, and s-1 and s-2",
				restart,
				pending,
				endpoints,
			)
		}
		if size := int64(len(mustRead(t, dir))); size > w.pending.bytes {
			t.Errorf(
				"restart %d: compacted log = %d bytes, want at most the %d reserved",
				restart,
				size,
				w.pending.bytes,
			)
		}
	}
}

// mustRead returns the content of the log in a directory.
func mustRead(t *testing.T, dir string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards a relay with a large disk and little memory: the pending messages, which are all in memory, must
// not exceed their limit, and a message that ends makes room for another.
func TestBoundedPendingMemory(t *testing.T) {
	const messages, size, limit = 100, 10_000, 200_000
	body := strings.Repeat("b", size)
	log, _, err := Open(Options{
		Dir: t.TempDir(), MaxBytes: 64 << 20, MaxPendingBytes: limit, Logger: discardLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for n := range messages {
		record := accepted(fmt.Sprint(n), body)
		switch err := log.append(record); {
		case err == nil:
			taken++
		case !errors.Is(err, ErrFull):
			t.Fatalf("append = %v, want nil or ErrFull", err)
		}
	}
	if log.pending.bytes > limit || taken < limit/size/2 {
		t.Errorf("%d bytes of %d messages are pending, want at most %d and at least half of that",
			log.pending.bytes, taken, limit)
	}
	if err := log.append(&core.Record{Kind: core.RecordDone, ID: "0"}); err != nil {
		t.Fatal(err)
	}
	if err := log.append(accepted("again", body)); err != nil {
		t.Errorf("append after a message has ended = %v, want room for another", err)
	}
}
