package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/membership"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/source/registry"
)

// checkDiscoveryFixture compares bytes with a recorded file. UPDATE_FIXTURES=1 records
// it.
func checkDiscoveryFixture(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "discovery", name)
	if os.Getenv("UPDATE_FIXTURES") != "" {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\ngot  %s\nwant %s", path, got, want)
	}
}

// Lists as a watch tells them: whole ones and changes, in one line and over several,
// with empty lines between and within them.
func TestListFixture(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "discovery", "watch.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	enc := json.NewEncoder(&got)
	for in := newListDecoder(bytes.NewReader(text), defaultMaxListBytes, func() {}); ; {
		list, err := in.next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := enc.Encode(list); err != nil {
			t.Fatal(err)
		}
	}
	checkDiscoveryFixture(t, "lists.jsonl", got.Bytes())
}

// requestText is a request with all its headers, but for the address.
func requestText(t *testing.T, r *http.Request) string {
	t.Helper()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	text := fmt.Sprintf("%s %s %s\n", r.Method, r.RequestURI, r.Proto)
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		text += fmt.Sprintf("%s: %q\n", name, r.Header[name])
	}
	return text + "\n" + string(body)
}

// The requests that discovery gets: for the whole list, for a watch, and with notices.
func TestRequestFixture(t *testing.T) {
	requests := make(chan string, 16)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- requestText(t, r)
		switch {
		case r.Method == http.MethodPost:
			w.WriteHeader(http.StatusNoContent)
		case r.URL.RawQuery == "":
			io.WriteString(w, `{"revision":42,"complete":true,"members":[]}`)
		default:
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	defer srv.Close()
	defer srv.CloseClientConnections()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	start := func(run func(context.Context)) {
		running.Add(1)
		go func() { defer running.Done(); run(ctx) }()
	}
	defer cancel()
	addr := srv.Listener.Addr().String()
	d := newListWatcher(addr, quietLog(), registry.New(3, 1), func(*EndpointList) {})
	start(d.run)
	text := <-requests + "\n" + <-requests + "\n"
	n := newNoticeSender(addr, quietLog(), func(string) {})
	for _, x := range []notice{{Message: "m-1", Outcome: core.NoticeGivenUp}, {Message: "m-2", Outcome: core.NoticeHandedBack, RetryMS: 500}} {
		n.queue.Put(x)
	}
	start(n.run)
	text += <-requests
	checkDiscoveryFixture(t, "requests.txt", []byte(text))
}

// The lines of the helper that follows etcd, as package follow writes them.
func TestHelperLineFixture(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "source", "etcd", "follow", "testdata", "lines.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(text) {
		var got helperMessage
		dec := json.NewDecoder(bytes.NewReader(line))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&got); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		want := `{"alive":true}` + "\n"
		if got.Update != nil {
			word, err := json.Marshal(got.Update)
			if err != nil {
				t.Fatal(err)
			}
			want = fmt.Sprintf("{\"word\":%s}\n", word)
		}
		if string(line) != want || got.Heartbeat != (got.Update == nil) {
			t.Errorf("%s is read as %+v", line, got)
		}
	}
}

// The members file as a relay writes it, and what one that begins with it tells on.
func TestMembersFileFixture(t *testing.T) {
	var events []core.Event
	begun := func(dir string) *memberMerger {
		events = nil
		m, err := newMemberMerger(&operatorconfig.Etcd{}, dir, quietLog(), func(e core.Event) { events = append(events, e) }, func() {})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	member := func(id string, k int, phase string) core.Member {
		return core.Member{ID: id, HostPort: fmt.Sprint("127.0.0.1:", 7000+k), Locality: "a", Flavor: "k", Dest: 3, Phase: phase, Rate: float64(k)}
	}
	dir := t.TempDir()
	m := begun(dir)
	m.enqueue(m.registry, &membership.Update{Epoch: "http://127.0.0.1:9#1@7", Revision: 4, Complete: true, Members: []core.Member{member("a", 1, core.Up), member("b", 2, core.Up)}})
	m.enqueue(m.etcd, &membership.Update{Epoch: "000000000000004d.0", Revision: 8, Complete: true, Members: []core.Member{member("a", 0, core.Up), member("c", 3, core.Up)}})
	m.enqueue(m.etcd, &membership.Update{Epoch: "000000000000004d.0", Revision: 9, Members: []core.Member{member("a", 0, core.Draining)}})
	m.step()
	text, err := os.ReadFile(filepath.Join(dir, membersFile))
	if err != nil {
		t.Fatal(err)
	}
	checkDiscoveryFixture(t, "members.json", text)
	recorded, err := os.ReadFile(filepath.Join("testdata", "discovery", "members.json"))
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "members"), recorded, 0o600); err != nil {
		t.Fatal(err)
	}
	m = begun(dir)
	m.start(&EndpointList{Revision: 4, Complete: true, Members: []core.Member{member("a", 1, core.Up), member("b", 2, core.Up)}})
	if len(events) != 1 {
		t.Fatalf("told %+v", events)
	}
	told, ok := events[0].(core.EndpointListUpdated)
	if !ok {
		t.Fatalf("told %+v", events[0])
	}
	if text, err = json.Marshal(told.List); err != nil {
		t.Fatal(err)
	}
	checkDiscoveryFixture(t, "members-told.json", text)
	m.lastSaved = time.Time{}
	m.dirty = true
	m.step()
	if text, err = os.ReadFile(filepath.Join(dir, membersFile)); err != nil {
		t.Fatal(err)
	}
	checkDiscoveryFixture(t, "members.json", text)
}
