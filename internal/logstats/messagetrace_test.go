package logstats

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/fstest"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
)

// TestMessageTrace checks that a trace has the lines about the message from all relays in order of time,
// together with the starts and stops of these relays near them. It must not have lines about other
// messages, other starts and stops, or starts of relays that did not have the message.
func TestMessageTrace(t *testing.T) {
	trace, err := ReadMessageTrace(logFolder(map[string]string{
		"n1.log": "14.1 " + messageLine(100, msgtrace.Accepted, "m", "class=c left_ms=900") +
			logLineAt(0, msgtrace.Ready, "log=none") + logLineAt(9000, msgtrace.Ready, "log=none") +
			messageLine(200, msgtrace.Accepted, "other", "left_ms=1") +
			messageLine(300, msgtrace.AttemptFailed, "m", `status=503 err="dial tcp: refused"`),
		"n2.log": messageLine(250, msgtrace.Accepted, "m", "left_ms=700") +
			logLineAt(50, msgtrace.Stopping, "held=3") + "garbage\n" + logLineAt(1, msgtrace.Ready, "")[:20],
		"n3.log": logLineAt(150, msgtrace.Ready, "log=none"),
	}), "logs", "m")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, event := range trace.Events {
		got = append(got, event.Relay+" "+event.Text)
	}
	if want := "n1 ready, n2 stopping, n1 taken, n2 taken, n1 attempt"; strings.Join(got, ", ") != want {
		t.Errorf("events = %v, want %s", got, want)
	}
	var text bytes.Buffer
	if err := trace.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"3 relays", "1 foreign lines, 1 torn ones", "+0.200 s  n1  attempt", `err="dial tcp: refused"`,
		"-0.050 s  n2  (stopping)  held=3",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("WriteText() has no %q:\n%s", want, text.String())
		}
	}
}

// TestDamagedLogs checks that the error for an unknown message names its ID and that for a folder
// without a readable log names the folder, and that the report counts lines it could not read.
func TestDamagedLogs(t *testing.T) {
	good := logLineAt(0, msgtrace.Ready, "log=none") + messageLine(100, msgtrace.Accepted, "m", "left_ms=900")
	_, err := ReadMessageTrace(logFolder(map[string]string{"n.log": good}), "logs", "x")
	if !errors.Is(err, errUnknownMessage) || !strings.Contains(err.Error(), "x") {
		t.Errorf("ReadMessageTrace(unknown ID x) = error %v, want %v with the ID", err, errUnknownMessage)
	}
	for _, dir := range []fstest.MapFS{
		logFolder(nil),
		logFolder(map[string]string{"n.log": "no line of ours\n"}),
		logFolder(map[string]string{"n.txt": good}),
	} {
		if _, err := ReadOutcomes(dir, "here"); !errors.Is(err, errNoLogs) || !strings.HasPrefix(err.Error(), "here") {
			t.Errorf("ReadOutcomes(%v) = error %v, want %v with the folder's name", dir, err, errNoLogs)
		}
		if _, err := ReadMessageTrace(dir, "here", "m"); !errors.Is(err, errNoLogs) {
			t.Errorf("ReadMessageTrace(%v) = error %v, want %v", dir, err, errNoLogs)
		}
	}
	outcomes := readOutcomes(t, map[string]string{
		"n1.log": good + "x\n" + logLineAt(5000, metrics.LogText, "second=5 d1.in=9 d1.untold=4 d2.untold=2") +
			logLineAt(100, msgtrace.Accepted, "")[:40],
		"n2.log": "",
	})
	var text bytes.Buffer
	if err := outcomes.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"1 relays", "1 without a readable line: [n2.log]", "1 foreign lines, 1 torn ones", "1 messages taken on",
		"6 more are not told", "1         !  " + string(Unfinished),
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("WriteText() has no %q:\n%s", want, text.String())
		}
	}
}
