package registry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
)

// exchanges sends fixed requests to a registry and writes down what came back.
type exchanges struct {
	*harness
	text     bytes.Buffer
	recorded int // events written down
}

// recordEvents waits for so many further events and writes them down. The registry may
// emit them only after its response has been read.
func (e *exchanges) recordEvents(n int) {
	e.t.Helper()
	count := func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.events) }
	e.waitFor("the events", func() bool { return count() >= e.recorded+n })
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, emitted := range e.events[e.recorded:] {
		fmt.Fprintf(&e.text, "%s: relay %d endpoint %d status %d wait %d %s\n",
			emitted.Kind, emitted.Relay, emitted.Endpoint, emitted.Status, emitted.Wait, emitted.ID)
	}
	e.recorded = len(e.events)
}

// exchange sends one request and writes down status, type and body, and the events
// that it gives.
func (e *exchanges) exchange(method, path, body string, events int) {
	e.t.Helper()
	req, err := http.NewRequest(method, "http://"+e.registry.Addr(1)+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		e.t.Fatal(err)
	}
	fmt.Fprintf(&e.text, "%s %s %.80q\n%d %q %q\n", method, path, body, resp.StatusCode,
		resp.Header.Get("Content-Type"), got)
	e.recordEvents(events)
}

// watchOneLine opens a watch and writes down its status, type and first line, and
// the events that it gives.
func (e *exchanges) watchOneLine(from string, events int) {
	e.t.Helper()
	path := "/registry/instances?watch=1&from=" + from
	resp, err := http.Get("http://" + e.registry.Addr(1) + path)
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var line []byte
	for b := make([]byte, 1); len(line) == 0 || line[len(line)-1] != '\n'; {
		if _, err := io.ReadFull(resp.Body, b); err != nil {
			e.t.Fatal(err)
		}
		line = append(line, b[0])
	}
	fmt.Fprintf(&e.text, "GET %s\n%d %q %q\n", path, resp.StatusCode, resp.Header.Get("Content-Type"), line)
	e.recordEvents(events)
}

// TestResponsesOverHTTP compares the responses to fixed requests, and the events that
// they give, with those of an earlier release, byte for byte.
func TestResponsesOverHTTP(t *testing.T) {
	e := &exchanges{harness: newHarness(t, 0, 0)}
	const list = "/registry/instances"
	e.exchange("GET", list, "", 3)
	// All changes come before the first watch, which else might still take one in.
	for i, phase := range []Phase{PhaseDraining, PhaseRemoved, PhaseDraining} {
		e.registry.SetPhase(i, phase)
	}
	e.waitFor("the changes", func() bool { return e.registry.ListOf(1).Revision == 4 })
	e.exchange("GET", list, "", 3)
	e.watchOneLine("0", 3)
	e.watchOneLine("1", 3)
	e.watchOneLine("3", 1)
	e.watchOneLine("99", 3)
	e.watchOneLine("4", 0) // nothing changed: the empty line of a quiet watch
	e.exchange("GET", list+"?watch=1&from=x", "", 0)
	e.exchange("POST", list, "", 0)
	e.exchange("GET", "/registry", "", 0)
	e.exchange("POST", "/reports", "{\"message\":\"a\",\"outcome\":\"given_up\"}\n"+
		"{\"message\":\"b\",\"outcome\":\"handed_back\",\"retry_in_ms\":500}\n", 2)
	e.exchange("POST", "/reports", "{\"message\":\"a\",\"outcome\":\"lost\"}\n", 0)
	e.exchange("POST", "/reports", strings.Repeat("x", maxNoticeBytes+1), 0)
	want, err := os.ReadFile("testdata/answers.txt")
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(e.text.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("line %d: %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Fatalf("%d lines, want %d", len(gotLines), len(wantLines))
	}
}
