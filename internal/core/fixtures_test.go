package core

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// The fixtures under testdata hold forms that other processes read: records of
// the log, the state that is handed over, the state file and the packed memory of
// a passive destination; and the effects of simulated runs, in their order.

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
	for i, line := range gotLines {
		if i >= len(wantLines) || line != wantLines[i] {
			t.Fatalf("%s, line %d:\n got %.2000s\nwant %.2000s", path, i+1, line, strings.Join(wantLines[min(i, len(wantLines)):min(i+1, len(wantLines))], ""))
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

// Every stored or transferred type, with every field set and with none, encodes to
// the recorded JSON, and the recorded JSON decodes to a value that encodes alike.
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
	got := fmt.Sprintln(RecordAccepted, RecordAttempt, RecordOutcome, RecordEnding, RecordDone, NoticeGivenUp, NoticeHandedBack, Up, Draining, Removed)
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
		rec := &Record{}
		if err := json.Unmarshal([]byte(text), rec); err != nil {
			t.Fatal(err)
		}
		state.Apply(rec)
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
	m, next := &policy.Snapshot{}, 0
	fill(reflect.ValueOf(m).Elem(), &next)
	m.Now = 1000
	b, err := pack(m, func(n policy.EndpointID) (uint32, bool) { return uint32(n) + 1e8, true })
	if err != nil {
		t.Fatal(err)
	}
	compareFixture(t, "packed.hex", []byte(hex.EncodeToString(b)+"\n"))
	back, err := unpack(b, 3, func(mark uint32) policy.EndpointID { return policy.EndpointID(mark - 1e8) })
	if err != nil {
		t.Fatal(err)
	}
	if again, err := pack(back, func(n policy.EndpointID) (uint32, bool) { return uint32(n) + 1e8, true }); err != nil || !bytes.Equal(again, b) {
		t.Errorf("packed again: %x, %v\nwant %x", again, err, b)
	}
	text, err := json.Marshal(back)
	if err != nil {
		t.Fatal(err)
	}
	compareFixture(t, "unpacked.json", append(text, '\n'))
	if got := fmt.Sprint(endpointHash("s-1", "10.0.0.1:8080"), endpointHash("", "")); got != "1994948295 842108706" {
		t.Errorf("marks %s", got)
	}
}

// renderEffect writes an effect by a fixed name and what it carries.
func renderEffect(e Effect) string {
	record := func() string {
		text, err := json.Marshal(recordOf(e))
		if err != nil {
			return err.Error()
		}
		return string(text)
	}
	call := func(c *Call) string {
		return fmt.Sprint(c.Record.ID, " endpoint=", c.Endpoint, " timeout=", c.Timeout, " by=", c.SendBy, " warming=", c.WarmingUp, " connect=", c.MayConnect, " sent=", c.SentAt())
	}
	switch e := e.(type) {
	case SendReply:
		return fmt.Sprint("reply ", e.Request.Record.ID, " ok=", e.Reply.OK, " err=", e.Reply.Err, " retry=", e.Reply.RetryAfterMS)
	case AppendRecord:
		return "append " + record()
	case AppendThenReply:
		return "append-reply " + e.Request.Record.ID + " " + record()
	case AppendThenSend:
		return "append-send " + record() + " " + call(e.Call)
	case ResumeCall:
		return "resume " + call(e.Call)
	case AppendThenNotify:
		return fmt.Sprintf("append-notify %s %+v", record(), e.Notice)
	case SendNotice:
		return fmt.Sprintf("notify %+v", e.Notice)
	case CancelCall:
		return "cancel " + call(e.Call)
	case CheckHealth:
		return fmt.Sprint("probe ", e.Endpoint)
	case OpenEndpoint:
		return fmt.Sprint("open ", e.Endpoint, " ", e.Address, " dest=", e.Dest, " flavor=", e.Flavor, " independent=", e.IndependentRoute)
	case CloseEndpoint:
		return fmt.Sprint("close ", e.Endpoint)
	case ApplyRetryAfter:
		return fmt.Sprint("retry-after ", e.Endpoint, " ", e.Until)
	case CloseIdleConnections:
		return fmt.Sprint("close-idle ", e.Endpoint)
	case ForgetEndpoint:
		return fmt.Sprint("forget ", e.Endpoint)
	case PassivateDestination:
		return fmt.Sprint("passivate ", e.Dest)
	case Log:
		if e.Text == "policy" {
			return "log " + e.Level.String() + " policy" // its words are pinned where they are made
		}
		return fmt.Sprint("log ", e.Level, " ", e.Text, " ", e.Args)
	case StepAgain:
		return "again"
	}
	return "unknown"
}

// goldenRuns are simulated runs of which every effect is recorded.
var goldenRuns = []struct {
	name string
	play func(t *testing.T, seed uint64, golden io.Writer)
}{
	{"plain", func(t *testing.T, seed uint64, golden io.Writer) {
		w := newSimulation(t, seed)
		w.golden = golden
		w.play(300)
	}},
	{"deferred", func(t *testing.T, seed uint64, golden io.Writer) {
		w := newSimulation(t, seed)
		w.golden = golden
		w.core.DeferSends()
		w.play(60)
		w.execute(w.core.Step(w.now, []Event{Started{}}, nil))
		w.playFrom(60, 100)
		w.execute(w.core.Step(w.now, []Event{ShutdownRequested{}}, nil))
		w.playFrom(160, 100)
	}},
	{"handover", func(t *testing.T, seed uint64, golden io.Writer) {
		w := newSimulation(t, seed)
		w.golden = golden
		b := &logModel{pending: map[string]*Record{}}
		w.logModel = b
		for turn := range 3 {
			w.playFrom(turn*60, 60)
			w.handOver(b, policy.Time(w.rng.Int64N(2e9))-1e9)
		}
	}},
	{"passive", func(t *testing.T, seed uint64, golden io.Writer) {
		w := newSimulation(t, seed)
		w.golden = golden
		w.core = passivatingCore(t, idlestore.Limits{MaxActive: 1, IdleTimeout: 10e6})
		w.flavors, w.longStepOdds = []string{"k", "r"}, 12
		w.driver = newCallDriver(w)
		w.driver.extraWait = 45e6
		b := &logModel{pending: map[string]*Record{}}
		w.logModel = b
		for turn := range 3 {
			w.playFrom(turn*100, 100)
			w.handOverQuietly(b)
		}
	}},
}

// Effects, their order and all that they carry stay as recorded: whole for one
// short run, by digest for the others.
func TestEffectsAreUnchanged(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the recorded runs hold for amd64: other machines may fuse floating-point operations")
	}
	var digests, whole bytes.Buffer
	newSimulation(t, 1).playRecorded(&whole, 50)
	compareFixture(t, "effects.txt", whole.Bytes())
	for _, run := range goldenRuns {
		for seed := range uint64(12) {
			h, n := sha256.New(), &lineCounter{}
			run.play(t, seed, io.MultiWriter(h, n))
			fmt.Fprintf(&digests, "%s %d %d %x\n", run.name, seed, n.lines, h.Sum(nil))
		}
	}
	compareFixture(t, "effects.sha256", digests.Bytes())
}

func (w *simulation) playRecorded(golden io.Writer, steps int) {
	w.golden = golden
	w.play(steps)
}

type lineCounter struct{ lines int }

func (c *lineCounter) Write(b []byte) (int, error) {
	c.lines += bytes.Count(b, []byte("\n"))
	return len(b), nil
}
