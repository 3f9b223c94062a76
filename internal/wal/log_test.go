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

func openTestLog(t *testing.T, dir string, limit int64) (*Log, []*core.Record) {
	t.Helper()
	w, pending, err := Open(Options{Dir: dir, MaxBytes: limit, Logger: discardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.file.Close() })
	return w, pending
}

func mustAppend(t *testing.T, w *Log, recs ...*core.Record) {
	t.Helper()
	for _, r := range recs {
		if err := w.append(r); err != nil {
			t.Fatalf("%s of %s: %v", r.Kind, r.ID, err)
		}
	}
}

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

// Pending messages are recovered with their state, in order, also by a second start,
// which reads the compacted form.
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
		&core.Record{Kind: core.RecordAttempt, ID: "c", At: 400, Zone: 1}, // no outcome: it may have run
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
			t.Fatalf("got %q", got)
		}
		if r := pending[1]; r.Key != "k" || r.Class != "keyed" || r.Tenant != "acme" || r.Dest != 7 ||
			r.Deadline != 1e15 || r.FirstUncertainZone != 1 {
			t.Errorf("got %+v", r)
		}
	}
}

// Guards against a kill in the middle of a write, and against damage: the rest
// of the log is recovered, and what is written next can be read.
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
		spoil func(b []byte) []byte
		want  string
	}{
		"torn tail":      {func(b []byte) []byte { return b[:len(b)-5] }, "ab"},
		"torn head":      {func(b []byte) []byte { return b[:sizes[1]+6] }, "ab"},
		"body damaged":   {func(b []byte) []byte { b[sizes[1]-2] ^= 1; return b }, "ac"},
		"length damaged": {func(b []byte) []byte { b[sizes[0]+4] ^= 0x7f; return b }, "ac"},
		"mark damaged":   {func(b []byte) []byte { b[0] ^= 1; return b }, "bc"},
		"noise before":   {func(b []byte) []byte { return append([]byte("noise"), b...) }, "abc"},
		"nothing but it": {func([]byte) []byte { return []byte(magic + "noise") }, ""},
		"empty":          {func([]byte) []byte { return nil }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := writeThree(dir)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, test.spoil(text), 0o600); err != nil {
				t.Fatal(err)
			}
			w, pending := openTestLog(t, dir, 1<<20)
			if got := ids(pending); got != test.want {
				t.Fatalf("recovered %q, want %q", got, test.want)
			}
			mustAppend(t, w, accepted("z", "Z"))
			if _, pending = openTestLog(t, dir, 1<<20); ids(pending) != test.want+"z" {
				t.Errorf("then %q", ids(pending))
			}
		})
	}
}

// Guards the disk: old and new log together stay under the limit at every
// moment, and accepted messages can be finished even when nothing more fits.
func TestBoundedSize(t *testing.T) {
	const limit = 1 << 20
	dir := t.TempDir()
	w, _ := openTestLog(t, dir, limit)
	body := strings.Repeat("b", resp.MaxBodyBytes)
	n := 0
	for ; ; n++ {
		if err := w.append(accepted(strconv.Itoa(n), body)); err != nil {
			if !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			break
		}
	}
	if n == 0 {
		t.Fatal("nothing fits")
	}
	for round := range 3000 { // far more than fits without compaction
		id := strconv.Itoa(round % n)
		mustAppend(t, w,
			&core.Record{Kind: core.RecordAttempt, ID: id, At: int64(round) + 1},
			&core.Record{Kind: core.RecordOutcome, ID: id, MayHaveRun: true})
		if w.size+w.pending.bytes > limit {
			t.Fatalf("round %d: log %d, compaction would add %d", round, w.size, w.pending.bytes)
		}
	}
	if info, err := os.Stat(w.path); err != nil || info.Size() != w.size {
		t.Fatalf("size on disk %v, held to be %d, %v", info, w.size, err)
	}
	for i := range n {
		mustAppend(t, w, &core.Record{Kind: core.RecordDone, ID: strconv.Itoa(i)})
	}
	if w.pending.bytes != 0 {
		t.Errorf("%d bytes reserved for no message", w.pending.bytes)
	}
	mustAppend(t, w, accepted("next", body))
}

// A record may grow by its state in a compaction; the room for that is booked
// when the message is accepted.
func TestReservedSizeCoversState(t *testing.T) {
	r := accepted("9b1f03aa5c7e2d41", "body")
	r.Attempts = 255
	r.FirstUncertainAt, r.FirstUncertainZone = 1764384000000000, 9
	r.OpenAttemptAt, r.OpenAttemptZone = 1764384000000000, 9
	r.Notice, r.RetryMS = core.NoticeHandedBack, 2000
	text, err := appendRecord(nil, r)
	if err != nil || int64(len(text)) > reservedSize(r) {
		t.Errorf("%d bytes, booked %d, %v", len(text), reservedSize(r), err)
	}
}

// Guards against a disk that fails: the record is refused, nobody crashes, and
// what is held stays readable.
func TestWriteFails(t *testing.T) {
	dir := t.TempDir()
	w, _ := openTestLog(t, dir, 1<<20)
	mustAppend(t, w, accepted("a", "A"))
	if err := w.file.Close(); err != nil {
		t.Fatal(err)
	}
	if w.append(accepted("b", "B")) == nil {
		t.Fatal("written to a closed file")
	}
	if w.pending.contains("b") {
		t.Error("the failed record is pending")
	}
	if err := w.append(&core.Record{Kind: core.RecordAttempt, ID: "b"}); !errors.Is(err, ErrNotPending) {
		t.Errorf("an attempt of what was refused: %v", err)
	}
	if _, pending := openTestLog(t, dir, 1<<20); len(pending) != 1 {
		t.Errorf("%d pending", len(pending))
	}
}

func FuzzReplay(f *testing.F) {
	good, err := appendRecord(nil, accepted("a", "A"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(magic + "\x00\x00\x00\x02"))
	f.Fuzz(func(t *testing.T, b []byte) {
		w := &Log{pending: newPendingSet(), logger: discardLogger()}
		w.replay(append(b, good...))
		if !w.pending.contains("a") && !strings.Contains(string(b), magic) {
			t.Fatal("the sound record is lost")
		}
	})
}
