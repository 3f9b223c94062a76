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
// emit them only after its answer has been read.
func (a *exchanges) recordEvents(n int) {
	a.t.Helper()
	count := func() int { a.mu.Lock(); defer a.mu.Unlock(); return len(a.events) }
	a.waitFor("the events", func() bool { return count() >= a.recorded+n })
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.events[a.recorded:] {
		fmt.Fprintf(&a.text, "%s: relay %d endpoint %d status %d wait %d %s\n",
			e.Kind, e.Relay, e.Endpoint, e.Status, e.Wait, e.ID)
	}
	a.recorded = len(a.events)
}

// exchange sends one request and writes down status, type and body, and the events
// that it gives.
func (a *exchanges) exchange(method, path, body string, events int) {
	a.t.Helper()
	req, err := http.NewRequest(method, "http://"+a.registry.Addr(1)+path, strings.NewReader(body))
	if err != nil {
		a.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		a.t.Fatal(err)
	}
	fmt.Fprintf(&a.text, "%s %s %.80q\n%d %q %q\n", method, path, body, resp.StatusCode,
		resp.Header.Get("Content-Type"), got)
	a.recordEvents(events)
}

// watchOneLine opens a watch and writes down its status, type and first line, and
// the events that it gives.
func (a *exchanges) watchOneLine(from string, events int) {
	a.t.Helper()
	path := "/registry/instances?watch=1&from=" + from
	resp, err := http.Get("http://" + a.registry.Addr(1) + path)
	if err != nil {
		a.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var line []byte
	for b := make([]byte, 1); len(line) == 0 || line[len(line)-1] != '\n'; {
		if _, err := io.ReadFull(resp.Body, b); err != nil {
			a.t.Fatal(err)
		}
		line = append(line, b[0])
	}
	fmt.Fprintf(&a.text, "GET %s\n%d %q %q\n", path, resp.StatusCode, resp.Header.Get("Content-Type"), line)
	a.recordEvents(events)
}

// TestResponsesOverHTTP compares the answers to fixed requests, and the events that
// they give, with those of an earlier release, byte for byte.
func TestResponsesOverHTTP(t *testing.T) {
	a := &exchanges{harness: newHarness(t, 0, 0)}
	const list = "/registry/instances"
	a.exchange("GET", list, "", 3)
	// All changes come before the first watch, which else might still take one in.
	for i, phase := range []string{PhaseDraining, PhaseRemoved, PhaseDraining} {
		a.registry.SetPhase(i, phase)
	}
	a.waitFor("the changes", func() bool { return a.registry.ListOf(1).Revision == 4 })
	a.exchange("GET", list, "", 3)
	a.watchOneLine("0", 3)
	a.watchOneLine("1", 3)
	a.watchOneLine("3", 1)
	a.watchOneLine("99", 3)
	a.watchOneLine("4", 0) // nothing changed: the empty line of a quiet watch
	a.exchange("GET", list+"?watch=1&from=x", "", 0)
	a.exchange("POST", list, "", 0)
	a.exchange("GET", "/registry", "", 0)
	a.exchange("POST", "/reports", "{\"message\":\"a\",\"outcome\":\"given_up\"}\n"+
		"{\"message\":\"b\",\"outcome\":\"handed_back\",\"retry_in_ms\":500}\n", 2)
	a.exchange("POST", "/reports", "{\"message\":\"a\",\"outcome\":\"lost\"}\n", 0)
	a.exchange("POST", "/reports", strings.Repeat("x", maxNoticeBytes+1), 0)
	want, err := os.ReadFile("testdata/answers.txt")
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(a.text.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("line %d: %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Fatalf("%d lines, want %d", len(gotLines), len(wantLines))
	}
}
