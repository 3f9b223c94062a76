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

// answers sends fixed requests to a registry and writes down what came back.
type answers struct {
	*rig
	text bytes.Buffer
	seen int // events written down
}

// events waits for so many further events and writes them down. The registry may
// emit them only after its answer has been read.
func (a *answers) events(n int) {
	a.t.Helper()
	count := func() int { a.mu.Lock(); defer a.mu.Unlock(); return len(a.said) }
	a.wait("the events", func() bool { return count() >= a.seen+n })
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.said[a.seen:] {
		fmt.Fprintf(&a.text, "%s: relay %d endpoint %d status %d wait %d %s\n",
			e.Kind, e.Relay, e.Endpoint, e.Status, e.Wait, e.ID)
	}
	a.seen = len(a.said)
}

// exchange sends one request and writes down status, type and body, and the events
// that it gives.
func (a *answers) exchange(method, path, body string, events int) {
	a.t.Helper()
	req, err := http.NewRequest(method, "http://"+a.r.Addr(1)+path, strings.NewReader(body))
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
	a.events(events)
}

// firstLine opens a watch and writes down its status, type and first line, and
// the events that it gives.
func (a *answers) firstLine(from string, events int) {
	a.t.Helper()
	path := "/registry/instances?watch=1&from=" + from
	resp, err := http.Get("http://" + a.r.Addr(1) + path)
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
	a.events(events)
}

// TestAnswersOverHTTP compares the answers to fixed requests, and the events that
// they give, with those of an earlier release, byte for byte.
func TestAnswersOverHTTP(t *testing.T) {
	a := &answers{rig: start(t, 0, 0)}
	const list = "/registry/instances"
	a.exchange("GET", list, "", 3)
	// All changes come before the first watch, which else might still take one in.
	for i, phase := range []string{Draining, Removed, Draining} {
		a.r.Set(i, phase)
	}
	a.wait("the changes", func() bool { return a.r.Known(1).Revision == 4 })
	a.exchange("GET", list, "", 3)
	a.firstLine("0", 3)
	a.firstLine("1", 3)
	a.firstLine("3", 1)
	a.firstLine("99", 3)
	a.firstLine("4", 0) // nothing changed: the empty line of a quiet watch
	a.exchange("GET", list+"?watch=1&from=x", "", 0)
	a.exchange("POST", list, "", 0)
	a.exchange("GET", "/registry", "", 0)
	a.exchange("POST", "/reports", "{\"message\":\"a\",\"outcome\":\"given_up\"}\n"+
		"{\"message\":\"b\",\"outcome\":\"handed_back\",\"retry_in_ms\":500}\n", 2)
	a.exchange("POST", "/reports", "{\"message\":\"a\",\"outcome\":\"lost\"}\n", 0)
	a.exchange("POST", "/reports", strings.Repeat("x", noticeMost+1), 0)
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
