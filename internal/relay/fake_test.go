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

// fakeDiscovery is discovery's agent on a relay's machine.
type fakeDiscovery = discoverytest.Agent

func newFakeDiscovery(t testing.TB, members ...core.Member) *fakeDiscovery {
	t.Helper()
	return discoverytest.New(t, members...)
}

// fakeEndpoint answers calls by a function and keeps what came.
type fakeEndpoint struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []receivedCall
	handler func(w http.ResponseWriter, r *http.Request, n int)
}

type receivedCall struct {
	id, key, timeout string
	body             []byte
}

func newFakeEndpoint(t testing.TB, answer func(w http.ResponseWriter, r *http.Request, n int)) *fakeEndpoint {
	e := &fakeEndpoint{handler: answer}
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
		n, answer := len(e.calls), e.handler
		e.mu.Unlock()
		if answer != nil {
			answer(w, r, n)
		}
	}))
	t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
	return e
}

// blockUntil answers a call once a channel is closed, or its caller is gone.
func blockUntil(release <-chan struct{}) func(http.ResponseWriter, *http.Request, int) {
	return func(_ http.ResponseWriter, r *http.Request, _ int) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}
}

// hang holds a call until its caller is gone.
func hang(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

func respondStatus(code int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(code) }
}

func (e *fakeEndpoint) addr() string { return e.Listener.Addr().String() }

func (e *fakeEndpoint) setHandler(answer func(http.ResponseWriter, *http.Request, int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = answer
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

func (e *fakeEndpoint) member(id string, cell int) core.Member {
	return core.Member{ID: id, HostPort: e.addr(), Locality: "a", Flavor: "k", Dest: cell, Phase: core.Up, Rate: 1000}
}
