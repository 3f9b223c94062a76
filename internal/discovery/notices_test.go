package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
)

// startNoticeSender runs a sender until the test ends.
func startNoticeSender(t *testing.T, s *NoticeSender) {
	t.Helper()
	s.Start(context.Background())
	t.Cleanup(s.Pause)
}

// Notices are sent until they are confirmed. A notice that the agent rejects as malformed is
// dropped.
func TestNotices(t *testing.T) {
	agent := discoverytest.New(t)
	agent.Update(func(a *discoverytest.Agent) { a.NoticeStatus = http.StatusInternalServerError })
	confirmed := make(chan string, 16)
	sender := NewNoticeSender(agent.Addr(), quietLog(), func(id string) { confirmed <- id })
	startNoticeSender(t, sender)
	sender.Send(core.Notice{Message: "a", Outcome: core.NoticeGivenUp, RetryMS: 0})
	sender.Send(core.Notice{Message: "b", Outcome: core.NoticeHandedBack, RetryMS: 500})
	select {
	case id := <-confirmed:
		t.Fatalf("notice of message %s is confirmed, though the agent replies with status 500", id)
	case <-time.After(50 * time.Millisecond):
	}
	agent.Update(func(a *discoverytest.Agent) { a.NoticeStatus = http.StatusNoContent })
	for range 2 {
		<-confirmed
	}
	want := core.Notice{Message: "b", Outcome: core.NoticeHandedBack, RetryMS: 500}
	if b, _ := agent.Notice("b"); b != want {
		t.Errorf("agent received %+v, want %+v", b, want)
	}
	agent.Update(func(a *discoverytest.Agent) { a.NoticeStatus = http.StatusBadRequest })
	sender.Send(core.Notice{Message: "c", Outcome: core.NoticeGivenUp, RetryMS: 0})
	if id := <-confirmed; id != "c" {
		t.Errorf("message %s was confirmed, want c", id)
	}
}

// Guards against late notices. If the connection that was kept open to the agent has gone silent, the
// first attempt times out. The second attempt must begin within 300 ms.
func TestNoticeOnSilentConnection(t *testing.T) {
	var attempts atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		if attempts.Add(1) == 2 {
			<-r.Context().Done() // silent until the client closes the connection
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(srv.Close)
	confirmed := make(chan string, 4)
	sender := NewNoticeSender(srv.Listener.Addr().String(), quietLog(), func(id string) { confirmed <- id })
	startNoticeSender(t, sender)
	for _, id := range []string{"a", "b"} {
		sender.Send(core.Notice{Message: id, Outcome: core.NoticeGivenUp, RetryMS: 0})
		if got := <-confirmed; got != id {
			t.Fatalf("message %s was confirmed, want %s", got, id)
		}
	}
	if got := attempts.Load(); got != 3 {
		t.Errorf("%d attempts, want 3", got)
	}
	if minNoticeTimeout+minNoticeBackoff >= 300*time.Millisecond {
		t.Errorf("second attempt begins after %v, want under 300ms", minNoticeTimeout+minNoticeBackoff)
	}
}
