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
	"slices"
	"testing"

	"troutusher/internal/core"
	"troutusher/internal/fixturetest"
	"troutusher/internal/source/registry"
)

// The decoder reads the recorded text of a watch: complete lists and changes, on one line and over
// several, with empty lines between and within them.
func TestListFixture(t *testing.T) {
	text := fixturetest.Read(t, "watch.txt")
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
	fixturetest.Check(t, "lists.jsonl", got.Bytes())
}

// requestText returns a request with its body and all its headers except Host.
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

// The requests to the agent stay as recorded: for the complete list, for a watch, and with notices.
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
	fixturetest.Check(t, "requests.txt", []byte(text))
}
