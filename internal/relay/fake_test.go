package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
)

// fakeDiscovery stands for the discovery agent on a relay's machine.
type fakeDiscovery = discoverytest.Agent

func newFakeDiscovery(t testing.TB, members ...core.Member) *fakeDiscovery {
	t.Helper()
	return discoverytest.New(t, members...)
}

// fakeEndpoint answers calls by a function and records the requests that it receives.
type fakeEndpoint struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []receivedCall
	handler func(w http.ResponseWriter, r *http.Request, n int) // n counts the calls from 1; nil answers 200
}

type receivedCall struct {
	id, key, timeout string
	body             []byte
}

func newFakeEndpoint(t testing.TB, handler func(w http.ResponseWriter, r *http.Request, n int)) *fakeEndpoint {
	e := &fakeEndpoint{handler: handler}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.calls = append(e.calls, receivedCall{
			id:      r.Header.Get("X-Request-ID"),
			key:     r.Header.Get("Idempotency-Key"),
			timeout: r.Header.Get("X-Timeout-Ms"),
			body:    body,
		})
		n, handler := len(e.calls), e.handler
		e.mu.Unlock()
		if handler != nil {
			handler(w, r, n)
		}
	}))
	t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
	return e
}

// blockUntil returns a handler that answers a call once release is closed or the caller is gone.
func blockUntil(release <-chan struct{}) func(http.ResponseWriter, *http.Request, int) {
	return func(_ http.ResponseWriter, r *http.Request, _ int) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}
}

// hang does not answer a call until the caller is gone.
func hang(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

func respondStatus(code int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(code) }
}

func (e *fakeEndpoint) addr() string { return e.Listener.Addr().String() }

func (e *fakeEndpoint) setHandler(handler func(http.ResponseWriter, *http.Request, int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = handler
}

// count returns the number of calls received for a message.
// callCount returns the number of calls of all messages.
func (e *fakeEndpoint) callCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

func (e *fakeEndpoint) count(id string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c.id == id {
			n++
		}
	}
	return n
}

// member returns the entry of this endpoint in an endpoint list.
func (e *fakeEndpoint) member(id string, dest int) core.Member {
	return core.Member{ID: id, HostPort: e.addr(), Locality: "a", Flavor: "k", Dest: dest, Phase: core.Up, Rate: 1000}
}
