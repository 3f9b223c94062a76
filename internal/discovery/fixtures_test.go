package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"troutusher/internal/core"
	"troutusher/internal/source/registry"
)

// checkFixture compares bytes with a recorded file. UPDATE_FIXTURES=1 records
// it.
func checkFixture(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
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
	text, err := os.ReadFile(filepath.Join("testdata", "watch.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	enc := json.NewEncoder(&got)
	for in := newListDecoder(bytes.NewReader(text), DefaultMaxListBytes, func() {}); ; {
		list, err := in.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := enc.Encode(list); err != nil {
			t.Fatal(err)
		}
	}
	checkFixture(t, "lists.jsonl", got.Bytes())
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
			_, _ = io.WriteString(w, `{"revision":42,"complete":true,"members":[]}`)
		default:
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	addr := srv.Listener.Addr().String()
	runWatcher(t, WatcherOptions{Address: addr, Scheduler: registry.New(3, 1)}, make(chan *core.EndpointList, 1))
	text := <-requests + "\n" + <-requests + "\n"
	s := NewNoticeSender(addr, quietLog(), func(string) {})
	s.Send(core.Notice{Message: "m-1", Outcome: core.NoticeGivenUp})
	s.Send(core.Notice{Message: "m-2", Outcome: core.NoticeHandedBack, RetryMS: 500})
	startNoticeSender(t, s)
	text += <-requests
	checkFixture(t, "requests.txt", []byte(text))
}
