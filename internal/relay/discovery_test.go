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
)

// watchList runs discovery and hands on what it hears.
func watchList(t *testing.T, d *fakeDiscovery, silence time.Duration) chan *List {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	news, done := make(chan *List, 64), make(chan struct{})
	x := newDiscovery(d.addr(), quietLog(), registry.New(3, 1), func(l *List) { news <- l })
	x.silence = silence
	go func() { defer close(done); x.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return news
}

func next(t *testing.T, news chan *List) *List {
	t.Helper()
	select {
	case l := <-news:
		return l
	case <-time.After(30 * time.Second):
		t.Fatal("no news")
		return nil
	}
}

func change(rev int64, m core.Member) string {
	text, _ := json.Marshal(List{Revision: rev, Members: []core.Member{m}})
	return string(text)
}

// Changes follow the whole list; after a break the watch goes on from the
// version that was reached, and a line that cannot be read makes the whole
// list be fetched again.
func TestWatch(t *testing.T) {
	m := core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: core.Up}
	d := newFakeDiscovery(t, m)
	news := watchList(t, d, testLimit)
	if l := next(t, news); !l.Complete || len(l.Members) != 1 {
		t.Fatalf("first %+v", l)
	}
	m.Phase = core.Draining
	d.say(t, change(2, m))
	if l := next(t, news); l.Revision != 2 || l.Complete || l.Members[0].Phase != core.Draining {
		t.Fatalf("then %+v", l)
	}
	d.set(func(d *fakeDiscovery) { close(d.lines[0]) }) // the connection ends
	waitFor(t, "a second watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.froms) == 2 })
	d.mu.Lock()
	from, fetches := d.froms[1], d.fetches
	d.mu.Unlock()
	if from != "2" || fetches != 1 {
		t.Errorf("goes on from %s after %d fetches", from, fetches)
	}
	for i, bad := range []string{`{"revision":3,"members":[{"id":"s-1"`, `{"revision":3,"members":[{"id":"s-1","phase":"asleep"}]}`,
		`{"revision":3}`, `{"revision":3,"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`} {
		d.say(t, bad)
		if l := next(t, news); !l.Complete {
			t.Fatalf("after line %d: %+v", i, l)
		}
		waitFor(t, "a further watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.froms) == 3+i })
	}
}

// Guards against a watch that is open and dead: one that says nothing, not
// even an empty line, is given up.
func TestSilentWatch(t *testing.T) {
	d := newFakeDiscovery(t, core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: core.Up})
	news := watchList(t, d, 100*time.Millisecond)
	next(t, news)
	waitFor(t, "a second watch", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return len(d.froms) >= 2 })
}

// Guards against two calls where one will do: a watch that is turned away goes on
// from its version, and a relay that was given a list begins with its version.
func TestWatchTurnedAway(t *testing.T) {
	m := core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Cell: 3, Phase: core.Up}
	d := newFakeDiscovery(t, m)
	d.set(func(d *fakeDiscovery) { d.busy = 3 })
	news := make(chan *List, 64)
	follow := registry.New(3, 1)
	follow.Know(7)
	x := newDiscovery(d.addr(), quietLog(), follow, func(l *List) { news <- l })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); x.run(ctx) }()
	defer func() { cancel(); <-done }()
	<-x.first // turned away is an answer: the start does not wait for more
	d.say(t, change(8, m))
	if l := next(t, news); l.Revision != 8 {
		t.Errorf("heard %+v", l)
	}
	d.say(t, change(6, m)) // older: not believed
	d.say(t, change(9, m))
	if l := next(t, news); l.Revision != 9 {
		t.Errorf("heard %+v", l)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if want := []string{"watch=1&from=7", "watch=1&from=7", "watch=1&from=7"}; !slices.Equal(d.turned, want) || d.froms[0] != "7" || d.fetches != 0 {
		t.Errorf("asked %v, then from %v, %d fetches", d.turned, d.froms, d.fetches)
	}
}

// Guards the start against silent discovery: the relay answers with the list
// that it was given.
func TestStartWithoutDiscovery(t *testing.T) {
	d := newFakeDiscovery(t)
	d.set(func(d *fakeDiscovery) { d.silent = true })
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
	d.set(func(d *fakeDiscovery) { d.mute = true })
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
	waitFor(t, "the end of a message whose time is over", func() bool { n, ok := d.notice("short"); return ok && n.Outcome == core.NoticeHandedBack })
	if old.count("m") > 0 {
		t.Error("sent before the list was heard")
	}
	gone.Phase = core.Draining
	line, err := json.Marshal(List{Revision: 9, Complete: true, Members: []core.Member{gone, new.member("s-new", 1)}})
	if err != nil {
		t.Fatal(err)
	}
	d.say(t, string(line))
	waitFor(t, "the call", func() bool { return new.count("m") == 1 })
	if old.count("m")+old.count("short") > 0 {
		t.Error("sent to who has drained")
	}
}

// Notices are sent until they are taken; one that cannot be read does not hold
// up the others.
func TestNotices(t *testing.T) {
	d := newFakeDiscovery(t)
	d.set(func(d *fakeDiscovery) { d.answer = http.StatusInternalServerError })
	taken := make(chan string, 16)
	n := newNotices(d.addr(), quietLog(), func(id string) { taken <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.run(ctx) }()
	defer func() { cancel(); <-done }()
	n.in.Put(notice{Message: "a", Outcome: core.NoticeGivenUp, RetryMS: 0})
	n.in.Put(notice{Message: "b", Outcome: core.NoticeHandedBack, RetryMS: 500})
	select {
	case id := <-taken:
		t.Fatalf("%s held to be told", id)
	case <-time.After(50 * time.Millisecond):
	}
	d.set(func(d *fakeDiscovery) { d.answer = http.StatusNoContent })
	for range 2 {
		<-taken
	}
	if b, _ := d.notice("b"); b != (notice{Message: "b", Outcome: core.NoticeHandedBack, RetryMS: 500}) {
		t.Errorf("told %+v", b)
	}
	d.set(func(d *fakeDiscovery) { d.answer = http.StatusBadRequest })
	n.in.Put(notice{Message: "c", Outcome: core.NoticeGivenUp, RetryMS: 0})
	if id := <-taken; id != "c" {
		t.Errorf("%s in place of c", id)
	}
}

// Guards the time of a notice: where the connection that was kept to the agent
// has gone silent, a second try comes soon enough for the notice to be in time.
func TestNoticeOnSilentConnection(t *testing.T) {
	var tries atomic.Int32
	addr := serveTCP(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for readRequest(in) {
			if tries.Add(1) != 2 {
				io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
	})
	taken := make(chan string, 4)
	n := newNotices(addr, quietLog(), func(id string) { taken <- id })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.run(ctx) }()
	defer func() { cancel(); <-done }()
	for _, id := range []string{"a", "b"} {
		n.in.Put(notice{Message: id, Outcome: core.NoticeGivenUp, RetryMS: 0})
		if got := <-taken; got != id {
			t.Fatalf("%s in place of %s", got, id)
		}
	}
	if got := tries.Load(); got != 3 {
		t.Errorf("%d tries, want 3", got)
	}
	if noticeWait+noticePause >= 300*time.Millisecond {
		t.Error("a second try would be late")
	}
}
