package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/source/registry"
	"troutusher/internal/upstream/upstreamtest"
)

// startListWatcher runs discovery and hands on what it hears.
func startListWatcher(t *testing.T, d *fakeDiscovery, silence time.Duration) chan *EndpointList {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	news, done := make(chan *EndpointList, 64), make(chan struct{})
	x := newListWatcher(d.Addr(), quietLog(), registry.New(3, 1), func(l *EndpointList) { news <- l })
	x.silenceTimeout = silence
	go func() { defer close(done); x.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return news
}

func nextList(t *testing.T, news chan *EndpointList) *EndpointList {
	t.Helper()
	select {
	case l := <-news:
		return l
	case <-time.After(30 * time.Second):
		t.Fatal("no news")
		return nil
	}
}

func changeText(rev int64, m core.Member) string {
	text, _ := json.Marshal(EndpointList{Revision: rev, Members: []core.Member{m}})
	return string(text)
}

// Changes follow the whole list; after a break the watch goes on from the
// version that was reached, and a line that cannot be read makes the whole
// list be fetched again.
func TestWatch(t *testing.T) {
	m := core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Dest: 3, Phase: core.Up}
	d := newFakeDiscovery(t, m)
	news := startListWatcher(t, d, 20*time.Second)
	if l := nextList(t, news); !l.Complete || len(l.Members) != 1 {
		t.Fatalf("first %+v", l)
	}
	m.Phase = core.Draining
	d.SendLine(t, changeText(2, m))
	if l := nextList(t, news); l.Revision != 2 || l.Complete || l.Members[0].Phase != core.Draining {
		t.Fatalf("then %+v", l)
	}
	d.Update(func(d *fakeDiscovery) { close(d.Watches[0]) }) // the connection ends
	waitFor(t, "a second watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.WatchedFrom) == 2 })
	d.mu.Lock()
	from, fetches := d.WatchedFrom[1], d.Fetches
	d.mu.Unlock()
	if from != "2" || fetches != 1 {
		t.Errorf("goes on from %s after %d fetches", from, fetches)
	}
	for i, bad := range []string{`{"revision":3,"members":[{"id":"s-1"`, `{"revision":3,"members":[{"id":"s-1","phase":"asleep"}]}`,
		`{"revision":3}`, `{"revision":3,"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`} {
		d.SendLine(t, bad)
		if l := nextList(t, news); !l.Complete {
			t.Fatalf("after line %d: %+v", i, l)
		}
		waitFor(t, "a further watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.WatchedFrom) == 3+i })
	}
}

// Guards against a watch that is open and dead: one that says nothing, not
// even an empty line, is given up.
func TestSilentWatch(t *testing.T) {
	d := newFakeDiscovery(t, core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: core.Up})
	news := startListWatcher(t, d, 100*time.Millisecond)
	nextList(t, news)
	waitFor(t, "a second watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.WatchedFrom) >= 2 })
}

// Guards against two calls where one will do: a watch that is turned away goes on
// from its version, and a relay that was given a list begins with its version.
func TestWatchTurnedAway(t *testing.T) {
	m := core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Dest: 3, Phase: core.Up}
	d := newFakeDiscovery(t, m)
	d.Update(func(d *fakeDiscovery) { d.CallsToReject = 3 })
	news := make(chan *EndpointList, 64)
	follow := registry.New(3, 1)
	follow.SetRevision(7)
	x := newListWatcher(d.Addr(), quietLog(), follow, func(l *EndpointList) { news <- l })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); x.run(ctx) }()
	defer func() { cancel(); <-done }()
	<-x.firstResponse // turned away is an answer: the start does not wait for more
	d.SendLine(t, changeText(8, m))
	if l := nextList(t, news); l.Revision != 8 {
		t.Errorf("heard %+v", l)
	}
	d.SendLine(t, changeText(6, m)) // older: not believed
	d.SendLine(t, changeText(9, m))
	if l := nextList(t, news); l.Revision != 9 {
		t.Errorf("heard %+v", l)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if want := []string{"watch=1&from=7", "watch=1&from=7", "watch=1&from=7"}; !slices.Equal(d.RejectedQueries, want) || d.WatchedFrom[0] != "7" || d.Fetches != 0 {
		t.Errorf("asked %v, then from %v, %d fetches", d.RejectedQueries, d.WatchedFrom, d.Fetches)
	}
}

// Guards the start against silent discovery: the relay answers with the list
// that it was given.
func TestStartWithoutDiscovery(t *testing.T) {
	d := newFakeDiscovery(t)
	d.Update(func(d *fakeDiscovery) { d.Silent = true })
	env := testConfig(t, d, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Error(s)
	}
	_ = c
}

// Clients wait for no list: while discovery is silent they are answered, and a
// message's time runs. Calls wait for its first word, and go where that tells.
func TestStartAnswersBeforeTheList(t *testing.T) {
	old, new := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	d := newFakeDiscovery(t)
	d.Update(func(d *fakeDiscovery) { d.WithoutEmptyLines = true })
	gone := old.member("s-old", 1)
	env := testConfig(t, d, 3, gone)
	env[firstListTimeoutEnv] = "1h"
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	if s := cl.put("short", putFields("plain", 50, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "the end of a message whose time is over", func() bool { n, ok := d.Notice("short"); return ok && n.Outcome == core.NoticeHandedBack })
	if old.count("m") > 0 {
		t.Error("sent before the list was heard")
	}
	gone.Phase = core.Draining
	line, err := json.Marshal(EndpointList{Revision: 9, Complete: true, Members: []core.Member{gone, new.member("s-new", 1)}})
	if err != nil {
		t.Fatal(err)
	}
	d.SendLine(t, string(line))
	waitFor(t, "the call", func() bool { return new.count("m") == 1 })
	if old.count("m")+old.count("short") > 0 {
		t.Error("sent to who has drained")
	}
}

// Notices are sent until they are taken; one that cannot be read does not hold
// up the others.
func TestNotices(t *testing.T) {
	d := newFakeDiscovery(t)
	d.Update(func(d *fakeDiscovery) { d.NoticeStatus = http.StatusInternalServerError })
	taken := make(chan string, 16)
	n := newNoticeSender(d.Addr(), quietLog(), func(id string) { taken <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.run(ctx) }()
	defer func() { cancel(); <-done }()
	n.queue.Put(notice{Message: "a", Outcome: core.NoticeGivenUp, RetryMS: 0})
	n.queue.Put(notice{Message: "b", Outcome: core.NoticeHandedBack, RetryMS: 500})
	select {
	case id := <-taken:
		t.Fatalf("%s held to be told", id)
	case <-time.After(50 * time.Millisecond):
	}
	d.Update(func(d *fakeDiscovery) { d.NoticeStatus = http.StatusNoContent })
	for range 2 {
		<-taken
	}
	if b, _ := d.Notice("b"); b != (notice{Message: "b", Outcome: core.NoticeHandedBack, RetryMS: 500}) {
		t.Errorf("told %+v", b)
	}
	d.Update(func(d *fakeDiscovery) { d.NoticeStatus = http.StatusBadRequest })
	n.queue.Put(notice{Message: "c", Outcome: core.NoticeGivenUp, RetryMS: 0})
	if id := <-taken; id != "c" {
		t.Errorf("%s in place of c", id)
	}
}

// Guards the time of a notice: where the connection that was kept to the agent
// has gone silent, a second try comes soon enough for the notice to be in time.
func TestNoticeOnSilentConnection(t *testing.T) {
	var tries atomic.Int32
	addr := upstreamtest.ServeTCP(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for upstreamtest.ReadRequest(in) {
			if tries.Add(1) != 2 {
				io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
	})
	taken := make(chan string, 4)
	n := newNoticeSender(addr, quietLog(), func(id string) { taken <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.run(ctx) }()
	defer func() { cancel(); <-done }()
	for _, id := range []string{"a", "b"} {
		n.queue.Put(notice{Message: id, Outcome: core.NoticeGivenUp, RetryMS: 0})
		if got := <-taken; got != id {
			t.Fatalf("%s in place of %s", got, id)
		}
	}
	if got := tries.Load(); got != 3 {
		t.Errorf("%d tries, want 3", got)
	}
	if minNoticeTimeout+minNoticeBackoff >= 300*time.Millisecond {
		t.Error("a second try would be late")
	}
}
