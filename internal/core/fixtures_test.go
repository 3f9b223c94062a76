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

// The fixtures under testdata hold two kinds of data. The first are formats that other processes
// read: log records, the hand-over state, the state file and the packed state of a passive
// destination. They must not change, since other releases read these formats. The second are the
// effects of simulated runs, in their order. After an intended change of behavior, record the
// effects again with -update-fixtures and review the difference.

var updateFixtures = flag.Bool("update-fixtures", false, "overwrite the fixtures of this package with current results")

// compareFixture fails the test if got differs from a file under testdata.
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
	t.Fatalf("%s: got %d lines, want %d", path, len(gotLines), len(wantLines))
}

// fillFields sets every exported field that is stored, in the order of declaration, to a value derived from a
// counter, so that each field gets a different value.
func fillFields(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFields(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() && v.Type().Field(i).Tag.Get("json") != "-" {
				fillFields(v.Field(i), next)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillFields(v.Index(0), next)
		fillFields(v.Index(1), next)
	case reflect.Array:
		for i := range v.Len() {
			fillFields(v.Index(i), next)
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

// TestStoredFormsAreUnchanged guards against changes of the stored and transferred JSON formats. Each
// type, with all fields set and with none, must encode to the recorded JSON, and must encode to the
// same JSON again after decoding.
func TestStoredFormsAreUnchanged(t *testing.T) {
	for name, empty := range map[string]func() any{
		"record.json":          func() any { return &Record{} },
		"record_endpoint.json": func() any { return &Record{} },
		"notice.json":          func() any { return &Notice{} },
		"list.json":            func() any { return &EndpointList{} },
		"handover.json":        func() any { return &HandoverState{} },
		"handover_ended.json":  func() any { return &HandoverState{} },
		"snapshot.json":        func() any { return &StateSnapshot{} },
	} {
		full, next := empty(), 0
		fillFields(reflect.ValueOf(full).Elem(), &next)
		if record, ok := full.(*Record); ok && name == "record.json" { // from before records about endpoints
			record.Address, record.Revision = "", 0
		}
		if state, ok := full.(*HandoverState); ok && name == "handover.json" { // from before ended messages
			state.Ended = nil
		}
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
			decoded := empty()
			if err := json.Unmarshal(line, decoded); err != nil {
				t.Fatalf("%s: decoding failed: %v", name, err)
			}
			if again, err := json.Marshal(decoded); err != nil || !bytes.Equal(again, line) {
				t.Errorf("%s: decoded and encoded again = %s, error %v\nwant %s", name, again, err, line)
			}
		}
	}
}

// TestStoredWordsAreUnchanged guards against changes of the strings that records, notices and lists
// store as kinds, outcomes and phases.
func TestStoredWordsAreUnchanged(t *testing.T) {
	got := fmt.Sprintln(RecordAccepted, RecordAttempt, RecordOutcome, RecordEnding, RecordDone,
		NoticeGivenUp, NoticeHandedBack, Up, Draining, Removed, RecordEndpoint, RecordEndpointForgotten)
	want := "taken attempt outcome ending end given_up handed_back up draining removed endpoint forgotten\n"
	if got != want {
		t.Errorf("stored strings = %s\nwant %s", got, want)
	}
}

// TestRecordsApplyAsRecorded guards against changes in how log records are read: it applies a record
// of each kind, in its stored form, to the record of a pending message and compares all states with
// the recorded ones.
func TestRecordsApplyAsRecorded(t *testing.T) {
	var got bytes.Buffer
	state := &Record{Kind: RecordAccepted, ID: "m", Class: "keyed", Tenant: "acme", Key: "k", Dest: 7, Deadline: 9e15}
	appendState := func() {
		text, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		got.Write(append(text, '\n'))
	}
	appendState()
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
		appendState()
	}
	state.ResolveOpenAttempt()
	appendState()
	state = &Record{Kind: RecordAccepted, ID: "n", OpenAttemptAt: 500, OpenAttemptZone: 5}
	state.ResolveOpenAttempt()
	appendState()
	compareFixture(t, "record_states.json", got.Bytes())
}

// TestPackedFormIsUnchanged guards against changes of the packed state of a passive destination:
// packing must give the recorded bytes, and unpacking and packing them again the same bytes.
func TestPackedFormIsUnchanged(t *testing.T) {
	const offset = 1e8 // the hash of an endpoint is its number plus offset
	hashOf := func(number policy.EndpointID) (uint32, bool) { return uint32(number) + offset, true }
	snapshot, next := &policy.Snapshot{}, 0
	fillFields(reflect.ValueOf(snapshot).Elem(), &next)
	snapshot.Now = 1000
	b, err := pack(snapshot, hashOf)
	if err != nil {
		t.Fatal(err)
	}
	compareFixture(t, "packed.hex", []byte(hex.EncodeToString(b)+"\n"))
	unpacked, err := unpack(b, 3, func(hash uint32) policy.EndpointID { return policy.EndpointID(hash - offset) })
	if err != nil {
		t.Fatal(err)
	}
	if again, err := pack(unpacked, hashOf); err != nil || !bytes.Equal(again, b) {
		t.Errorf("pack(unpack(b)) = %x, %v\nwant %x", again, err, b)
	}
	text, err := json.Marshal(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	compareFixture(t, "unpacked.json", append(text, '\n'))
	if got := fmt.Sprint(endpointHash("s-1", "10.0.0.1:8080"), endpointHash("", "")); got != "1994948295 842108706" {
		t.Errorf("endpointHash results = %s, want 1994948295 842108706", got)
	}
}
