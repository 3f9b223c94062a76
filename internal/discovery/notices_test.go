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

// Notices are sent until they are confirmed; one that cannot be read does not hold
// up the others.
func TestNotices(t *testing.T) {
	d := discoverytest.New(t)
	d.Update(func(d *discoverytest.Agent) { d.NoticeStatus = http.StatusInternalServerError })
	confirmed := make(chan string, 16)
	n := NewNoticeSender(d.Addr(), quietLog(), func(id string) { confirmed <- id })
	startNoticeSender(t, n)
	n.Send(core.Notice{Message: "a", Outcome: core.NoticeGivenUp, RetryMS: 0})
	n.Send(core.Notice{Message: "b", Outcome: core.NoticeHandedBack, RetryMS: 500})
	select {
	case id := <-confirmed:
		t.Fatalf("%s held to be confirmed", id)
	case <-time.After(50 * time.Millisecond):
	}
	d.Update(func(d *discoverytest.Agent) { d.NoticeStatus = http.StatusNoContent })
	for range 2 {
		<-confirmed
	}
	if b, _ := d.Notice("b"); b != (core.Notice{Message: "b", Outcome: core.NoticeHandedBack, RetryMS: 500}) {
		t.Errorf("got %+v", b)
	}
	d.Update(func(d *discoverytest.Agent) { d.NoticeStatus = http.StatusBadRequest })
	n.Send(core.Notice{Message: "c", Outcome: core.NoticeGivenUp, RetryMS: 0})
	if id := <-confirmed; id != "c" {
		t.Errorf("%s in place of c", id)
	}
}

// Guards the time of a notice: where the connection that was kept to the agent
// has gone silent, a second attempt comes soon enough for the notice to be in time.
func TestNoticeOnSilentConnection(t *testing.T) {
	var attempts atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		if attempts.Add(1) == 2 {
			<-r.Context().Done() // the connection is silent until its client gives it up
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(srv.Close)
	confirmed := make(chan string, 4)
	n := NewNoticeSender(srv.Listener.Addr().String(), quietLog(), func(id string) { confirmed <- id })
	startNoticeSender(t, n)
	for _, id := range []string{"a", "b"} {
		n.Send(core.Notice{Message: id, Outcome: core.NoticeGivenUp, RetryMS: 0})
		if got := <-confirmed; got != id {
			t.Fatalf("%s in place of %s", got, id)
		}
	}
	if got := attempts.Load(); got != 3 {
		t.Errorf("%d attempts, want 3", got)
	}
	if minNoticeTimeout+minNoticeBackoff >= 300*time.Millisecond {
		t.Error("a second attempt would be late")
	}
}
