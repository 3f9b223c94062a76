package checker

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/event"
)

var updateVerdicts = flag.Bool("update-verdicts", false, "rewrite the verdicts of the stored records")

// recordedEvent is an event in a stored record. The files fix its JSON keys and the numbers of its
// kinds, which therefore stay the same when names in the code change.
type recordedEvent struct {
	At       Time   `json:"at"`
	Kind     int    `json:"kind"`
	Relay    int    `json:"relay,omitempty"`
	Endpoint int    `json:"endpoint,omitempty"`
	Message  int    `json:"message,omitempty"`
	Call     uint64 `json:"call,omitempty"`
	Status   int    `json:"status,omitempty"`
	Wait     Time   `json:"wait,omitempty"`
	Left     Time   `json:"left,omitempty"`
	ID       string `json:"id,omitempty"`
	Text     string `json:"text,omitempty"`
	Calls    []int  `json:"calls,omitempty"`
}

func (e *recordedEvent) event() event.Event {
	return event.Event{
		At: e.At, Kind: event.Kind(e.Kind), Relay: e.Relay, Endpoint: e.Endpoint, Message: e.Message, Call: e.Call,
		Status: e.Status, Wait: e.Wait, Left: e.Left, ID: e.ID, Text: e.Text, Calls: e.Calls,
	}
}

// recordedConfig is the configuration of the checker in a stored record.
type recordedConfig struct {
	Relays       int     `json:"relays"`
	Slack        Time    `json:"slack"`
	EndSlack     Time    `json:"end_slack"`
	RestartGrace Time    `json:"restart_grace"`
	DrainGrace   Time    `json:"drain_grace"`
	WaitPass     Time    `json:"wait_pass"`
	Guilty       float64 `json:"guilty"`
	EndedUntried float64 `json:"ended_untried"`
	UntriedLeast int     `json:"untried_least"`
	Classes      []struct {
		Repeat  int  `json:"repeat"`
		Window  Time `json:"window"`
		InOrder bool `json:"in_order"`
		Rest    Time `json:"rest"`
	} `json:"classes"`
	Messages []struct {
		Class  int    `json:"class"`
		Dest   int    `json:"dest"`
		Thread uint64 `json:"thread"`
	} `json:"messages"`
	Endpoints []struct {
		Name  string `json:"name"`
		Dest  int    `json:"dest"`
		Apart bool   `json:"apart"`
	} `json:"endpoints"`
}

func (f *recordedConfig) config() Config {
	config := Config{
		Relays:              f.Relays,
		Slack:               f.Slack,
		DeadlineSlack:       f.EndSlack,
		RestartGrace:        f.RestartGrace,
		DrainGrace:          f.DrainGrace,
		RetryAfterGrace:     f.WaitPass,
		InformedShareLimit:  f.Guilty,
		MaxEndedUnattempted: f.EndedUntried,
		MinUnattempted:      f.UntriedLeast,
	}
	for _, c := range f.Classes {
		config.Classes = append(
			config.Classes,
			Class{
				Idempotency:       Idempotency(c.Repeat),
				DedupWindow:       c.Window,
				Ordered:           c.InOrder,
				OrderedKeyBackoff: c.Rest,
			},
		)
	}
	for _, m := range f.Messages {
		config.Messages = append(config.Messages, Message{Class: m.Class, Destination: m.Dest, OrderingKey: m.Thread})
	}
	for _, e := range f.Endpoints {
		config.Endpoints = append(
			config.Endpoints,
			Endpoint{Name: e.Name, Destination: e.Dest, IndependentRoute: e.Apart},
		)
	}
	return config
}

// recordLine is a line of a stored record: the beginning of a rehearsal, one of its events, or its end.
// A beginning without a configuration uses that of the previous rehearsal in the file.
type recordLine struct {
	Name   string          `json:"name,omitempty"`
	Config *recordedConfig `json:"figures,omitempty"`
	Event  *recordedEvent  `json:"event,omitempty"`
	Finish Time            `json:"finish,omitempty"`
}

// recordVerdicts passes the events of a stored record to a checker and returns, event by event, the
// violations that the checker found.
func recordVerdicts(t *testing.T, record []byte) []byte {
	t.Helper()
	var verdicts bytes.Buffer
	var checker *Checker
	var config *recordedConfig
	eventNumber, reported := 0, 0
	report := func(moment string) {
		for _, v := range checker.violations[reported:] {
			fmt.Fprintf(&verdicts, "%s: [relay %d, endpoint %d] %s\n", moment, v.Relay, v.Endpoint, v.String())
		}
		reported = len(checker.violations)
	}
	lines := bufio.NewScanner(bytes.NewReader(record))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line recordLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		switch {
		case line.Name != "":
			fmt.Fprintf(&verdicts, "# %s\n", line.Name)
			if line.Config != nil {
				config = line.Config
			}
			checker, eventNumber, reported = New(config.config()), 0, 0
		case line.Event != nil:
			eventNumber++
			checker.Step(line.Event.event())
			report(fmt.Sprintf("event %d", eventNumber))
		default:
			checker.Finish(line.Finish)
			report("end")
			fmt.Fprintf(&verdicts, "%d events, restarts %v\n", eventNumber, checker.RestartCounts())
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return verdicts.Bytes()
}

// TestVerdictsOfStoredRecords checks that the verdicts on records of earlier releases do not change,
// event by event.
func TestVerdictsOfStoredRecords(t *testing.T) {
	records, err := filepath.Glob(filepath.Join("testdata", "*.record"))
	if err != nil || len(records) < 2 {
		t.Fatalf("Glob found %d stored records, error %v, want 2 records or more", len(records), err)
	}
	for _, path := range records {
		record, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		got := recordVerdicts(t, record)
		verdictsPath := strings.TrimSuffix(path, ".record") + ".verdicts"
		if *updateVerdicts {
			if err := os.WriteFile(verdictsPath, got, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(verdictsPath)
		if err != nil {
			t.Fatal(err)
		}
		if line, gotLine, wantLine := firstDifference(string(got), string(want)); line > 0 {
			t.Errorf("%s: verdicts differ from line %d on\ngot  %s\nwant %s", path, line, gotLine, wantLine)
		}
	}
}

// firstDifference returns the number, from 1, of the first line that differs between two texts, and
// that line of both. It returns 0 if the texts are equal.
func firstDifference(a, b string) (line int, inA, inB string) {
	linesA, linesB := strings.Split(a, "\n"), strings.Split(b, "\n")
	for i := range max(len(linesA), len(linesB)) {
		inA, inB = "(no line)", "(no line)"
		if i < len(linesA) {
			inA = linesA[i]
		}
		if i < len(linesB) {
			inB = linesB[i]
		}
		if inA != inB {
			return i + 1, inA, inB
		}
	}
	return 0, "", ""
}
