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

// exchangeRecorder sends requests to a registry and records the responses as text.
type exchangeRecorder struct {
	*harness
	text     bytes.Buffer
	recorded int // number of recorded events
}

// recordEvents waits for n more events and records them. It has to wait because the registry
// may emit an event after the client has read the response.
func (e *exchangeRecorder) recordEvents(n int) {
	e.t.Helper()
	count := func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.events) }
	e.waitFor(fmt.Sprint(n, " more events"), func() bool { return count() >= e.recorded+n })
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, emitted := range e.events[e.recorded:] {
		fmt.Fprintf(&e.text, "%s: relay %d endpoint %d status %d wait %d %s\n",
			emitted.Kind, emitted.Relay, emitted.Endpoint, emitted.Status, emitted.Wait, emitted.ID)
	}
	e.recorded = len(e.events)
}

// exchange sends one request. It records status, content type and body of the response, and
// the resulting events.
func (e *exchangeRecorder) exchange(method, path, body string, events int) {
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

// watchOneLine opens a watch. It records status, content type and first line of the response,
// and the resulting events.
func (e *exchangeRecorder) watchOneLine(from string, events int) {
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

// Compares the responses to fixed requests, and the resulting events, with those of an
// earlier release, byte for byte.
func TestResponsesOverHTTP(t *testing.T) {
	e := &exchangeRecorder{harness: newHarness(t, 0, 0)}
	const list = "/registry/instances"
	e.exchange("GET", list, "", 3)
	// Make all changes before the first watch, so that none of them arrives during a watch.
	for i, phase := range []Phase{PhaseDraining, PhaseRemoved, PhaseDraining} {
		e.registry.SetPhase(i, phase)
	}
	e.waitFor("all three changes", func() bool { return e.registry.ListOf(1).Revision == 4 })
	e.exchange("GET", list, "", 3)
	e.watchOneLine("0", 3)
	e.watchOneLine("1", 3)
	e.watchOneLine("3", 1)
	e.watchOneLine("99", 3)
	e.watchOneLine("4", 0) // no changes, so the first line is an empty keepalive
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
			t.Fatalf("line %d of the recorded text = %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Fatalf("recorded text has %d lines, want %d", len(gotLines), len(wantLines))
	}
}
