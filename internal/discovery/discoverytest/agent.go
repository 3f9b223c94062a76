// Package discoverytest provides a discovery agent for tests.
package discoverytest

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"troutusher/internal/core"
)

// Agent is a discovery agent for tests: it serves List, watches, and takes notices. Access its fields
// only within Update and Check.
type Agent struct {
	*httptest.Server
	mu       sync.Mutex
	released chan struct{} // closed when the test ends

	List              core.EndpointList
	Watches           []chan string          // lines that are sent on each watch; closing a channel ends its watch
	WatchedFrom       []string               // the revision after which each watch requested changes
	Fetches           int                    // number of fetches of the complete list
	Notices           map[string]core.Notice // the last notice of each message, by its id
	NoticeStatus      int                    // HTTP status of the replies to notices
	Silent            bool                   // leaves calls unanswered and sends no heartbeats
	WithoutHeartbeats bool                   // accepts watches, but sends no heartbeats
	CallsToReject     int                    // how many of the next calls to reject
	RejectedQueries   []string               // the queries of the rejected calls
	UnansweredCalls   int                    // number of calls that came while Silent
}

// New starts an agent whose list has revision 1. The agent stops when the test ends.
func New(t testing.TB, members ...core.Member) *Agent {
	t.Helper()
	a := &Agent{
		List:         core.EndpointList{Revision: 1, Complete: true, Members: members},
		Notices:      map[string]core.Notice{},
		NoticeStatus: http.StatusNoContent,
		released:     make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.serveList)
	mux.HandleFunc("POST /reports", a.serveNotices)
	a.Server = httptest.NewServer(mux)
	t.Cleanup(func() { close(a.released); a.CloseClientConnections(); a.Close() })
	return a
}

func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	switch {
	case a.Silent:
		a.UnansweredCalls++
		a.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-a.released:
		}
	case a.CallsToReject > 0:
		a.CallsToReject--
		a.RejectedQueries = append(a.RejectedQueries, r.URL.RawQuery)
		a.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Query().Get("watch") == "":
		a.Fetches++
		_ = json.NewEncoder(w).Encode(a.List) // the client may have closed the connection
		a.mu.Unlock()
	default:
		lines := make(chan string, 16)
		a.Watches = append(a.Watches, lines)
		a.WatchedFrom = append(a.WatchedFrom, r.URL.Query().Get("from"))
		a.mu.Unlock()
		a.serveWatch(w, r, lines)
	}
}

// serveWatch sends the lines, and an empty line after each second without one, until the watch
// ends. It ignores failed writes, since the request's context ends when the client is gone.
func (a *Agent) serveWatch(w http.ResponseWriter, r *http.Request, lines <-chan string) {
	send := func(line string) {
		_, _ = io.WriteString(w, line+"\n")
		w.(http.Flusher).Flush()
	}
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				return
			}
			send(line)
		case <-r.Context().Done():
			return
		case <-a.released:
			return
		case <-time.After(time.Second):
			if a.Check(func() bool { return !a.Silent && !a.WithoutHeartbeats }) {
				send("")
			}
		}
	}
}

func (a *Agent) serveNotices(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.NoticeStatus == http.StatusNoContent {
		for dec := json.NewDecoder(r.Body); dec.More(); {
			var n core.Notice
			if dec.Decode(&n) != nil {
				break
			}
			a.Notices[n.Message] = n
		}
	}
	w.WriteHeader(a.NoticeStatus)
}

// Addr returns the agent's address, host:port.
func (a *Agent) Addr() string { return a.Listener.Addr().String() }

// Notice returns the last notice of a message, and whether there is one.
func (a *Agent) Notice(id string) (core.Notice, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, ok := a.Notices[id]
	return n, ok
}

// Update calls f with the agent locked: f may read and change the agent's fields.
func (a *Agent) Update(f func(*Agent)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a)
}

// Check calls cond, which may read the agent's fields, with the agent locked, and returns its result.
func (a *Agent) Check(cond func() bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cond()
}

// SendLine sends a line on the newest watch.
func (a *Agent) SendLine(t testing.TB, line string) {
	t.Helper()
	WaitFor(t, "a watch", func() bool { return a.Check(func() bool { return len(a.Watches) > 0 }) })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Watches[len(a.Watches)-1] <- line
}

// SendLineToAll sends a line on every watch whose channel has room for it, also on watches of
// processes that have ended.
func (a *Agent) SendLineToAll(line string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.Watches {
		select {
		case w <- line:
		default:
		}
	}
}

// ChangeText returns the line of a list that contains only one changed member.
func ChangeText(revision int64, m core.Member) string {
	text, err := json.Marshal(core.EndpointList{Revision: revision, Members: []core.Member{m}})
	if err != nil {
		panic(err) // cannot happen: a list can always be encoded
	}
	return string(text)
}

// WaitFor waits up to 30 s for a condition, and fails the test if it does not come true. The
// description names the condition in the failure's text.
func WaitFor(t testing.TB, description string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out after 30 s, waiting for %s", description)
}
