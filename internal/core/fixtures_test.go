package core

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"troutusher/policy"
)

// The fixtures under testdata hold formats that other processes read: records of the log,
// the state that is handed over, the state file and the packed memory of a passive
// destination; and the effects of simulated runs, in their order. A fixture of a format
// never changes, since other releases read it. After an intended change of behavior the
// effects are recorded anew with -update-fixtures, and the difference is read.

var updateFixtures = flag.Bool("update-fixtures", false, "write the fixtures of this package anew")

// compareFixture compares got with a file under testdata, byte for byte.
func compareFixture(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateFixtures {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s, line %d:\n got %.2000s\nwant %.2000s", path, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%s has %d lines, got %d", path, len(wantLines), len(gotLines))
}

// fill sets every exported field to a value of its own, in the order of declaration.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i), next)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), next)
		fill(v.Index(1), next)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.String:
		v.SetString(fmt.Sprint("s", *next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64, reflect.Float32:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	}
}

// Every stored or transferred type, with every field set and with none, encodes to the
// recorded JSON, and the recorded JSON decodes to a value that encodes alike.
func TestStoredFormsAreUnchanged(t *testing.T) {
	for name, empty := range map[string]func() any{
		"record.json":   func() any { return &Record{} },
		"notice.json":   func() any { return &Notice{} },
		"list.json":     func() any { return &EndpointList{} },
		"handover.json": func() any { return &HandoverState{} },
		"snapshot.json": func() any { return &StateSnapshot{} },
	} {
		full, next := empty(), 0
		fill(reflect.ValueOf(full).Elem(), &next)
		var got bytes.Buffer
		for _, v := range []any{full, empty()} {
			text, err := json.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			got.Write(append(text, '\n'))
		}
		compareFixture(t, name, got.Bytes())
		for _, line := range bytes.Split(bytes.TrimSpace(got.Bytes()), []byte("\n")) {
			back := empty()
			if err := json.Unmarshal(line, back); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if again, err := json.Marshal(back); err != nil || !bytes.Equal(again, line) {
				t.Errorf("%s: %s, %v\nwant %s", name, again, err, line)
			}
		}
	}
}

// The words that stand in records, notices and lists.
func TestStoredWordsAreUnchanged(t *testing.T) {
	got := fmt.Sprintln(RecordAccepted, RecordAttempt, RecordOutcome, RecordEnding, RecordDone,
		NoticeGivenUp, NoticeHandedBack, Up, Draining, Removed)
	if want := "taken attempt outcome ending end given_up handed_back up draining removed\n"; got != want {
		t.Errorf("%s\nwant %s", got, want)
	}
}

// What a record of each kind does to what is owed, by the keys of the log.
func TestRecordsApplyAsRecorded(t *testing.T) {
	var got bytes.Buffer
	state := &Record{Kind: RecordAccepted, ID: "m", Class: "keyed", Tenant: "acme", Key: "k", Dest: 7, Deadline: 9e15}
	show := func() {
		text, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		got.Write(append(text, '\n'))
	}
	show()
	for _, text := range []string{
		`{"kind":"attempt","id":"m","at":100,"zone":1}`, `{"kind":"outcome","id":"m","void":true}`,
		`{"kind":"attempt","id":"m","at":200,"zone":2}`, `{"kind":"outcome","id":"m","ran":true}`,
		`{"kind":"attempt","id":"m","at":300,"zone":3}`, `{"kind":"outcome","id":"m","ran":true}`,
		`{"kind":"ending","id":"m","notice":"handed_back","retry_ms":20}`,
		`{"kind":"attempt","id":"m","at":400,"zone":4}`,
	} {
		record := &Record{}
		if err := json.Unmarshal([]byte(text), record); err != nil {
			t.Fatal(err)
		}
		state.Apply(record)
		show()
	}
	state.ResolveOpenAttempt()
	show()
	state = &Record{Kind: RecordAccepted, ID: "n", OpenAttemptAt: 500, OpenAttemptZone: 5}
	state.ResolveOpenAttempt()
	show()
	compareFixture(t, "record_states.json", got.Bytes())
}

// The packed memory of a passive destination: recorded bytes are read, and written
// again byte for byte.
func TestPackedFormIsUnchanged(t *testing.T) {
	const offset = 1e8 // between the hash and the number of an endpoint
	hashOf := func(number policy.EndpointID) (uint32, bool) { return uint32(number) + offset, true }
	snapshot, next := &policy.Snapshot{}, 0
	fill(reflect.ValueOf(snapshot).Elem(), &next)
	snapshot.Now = 1000
	b, err := pack(snapshot, hashOf)
	if err != nil {
		t.Fatal(err)
	}
	compareFixture(t, "packed.hex", []byte(hex.EncodeToString(b)+"\n"))
	back, err := unpack(b, 3, func(hash uint32) policy.EndpointID { return policy.EndpointID(hash - offset) })
	if err != nil {
		t.Fatal(err)
	}
	if again, err := pack(back, hashOf); err != nil || !bytes.Equal(again, b) {
		t.Errorf("packed again: %x, %v\nwant %x", again, err, b)
	}
	text, err := json.Marshal(back)
	if err != nil {
		t.Fatal(err)
	}
	compareFixture(t, "unpacked.json", append(text, '\n'))
	if got := fmt.Sprint(endpointHash("s-1", "10.0.0.1:8080"), endpointHash("", "")); got != "1994948295 842108706" {
		t.Errorf("hashes %s", got)
	}
}
