package discovery

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
	"troutusher/internal/source/registry"
)

const testTimeout = 20 * time.Second

func quietLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// runInBackground runs something until the test ends.
func runInBackground(t *testing.T, run func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// runWatcher runs a watcher that hands on its lists.
func runWatcher(t *testing.T, o WatcherOptions, lists chan<- *core.EndpointList) *Watcher {
	t.Helper()
	o.Log = quietLog()
	o.OnList = func(_ string, list *core.EndpointList) { lists <- list }
	w := NewWatcher(o)
	runInBackground(t, w.Run)
	return w
}

// startWatcher watches an agent and hands on its lists.
func startWatcher(t *testing.T, a *discoverytest.Agent, silence time.Duration) chan *core.EndpointList {
	t.Helper()
	lists := make(chan *core.EndpointList, 64)
	runWatcher(t, WatcherOptions{Address: a.Addr(), Scheduler: registry.New(3, 1), SilenceTimeout: silence}, lists)
	return lists
}

func nextList(t *testing.T, lists chan *core.EndpointList) *core.EndpointList {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(30 * time.Second):
		t.Fatal("no list")
		return nil
	}
}

// waitForWatches waits until an agent has had so many watches, no more.
func waitForWatches(t *testing.T, a *discoverytest.Agent, n int) {
	t.Helper()
	discoverytest.WaitFor(t, "a further watch", func() bool {
		return a.Check(func() bool { return len(a.WatchedFrom) == n })
	})
}

func write(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Error(err)
	}
}

// Changes follow the whole list; after a break the watch goes on from the
// version that was reached, and a line that cannot be read makes the whole
// list be fetched again.
func TestWatch(t *testing.T) {
	m := core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Dest: 3, Phase: core.Up}
	d := discoverytest.New(t, m)
	lists := startWatcher(t, d, testTimeout)
	if l := nextList(t, lists); !l.Complete || len(l.Members) != 1 {
		t.Fatalf("first %+v", l)
	}
	m.Phase = core.Draining
	d.SendLine(t, discoverytest.ChangeText(2, m))
	if l := nextList(t, lists); l.Revision != 2 || l.Complete || l.Members[0].Phase != core.Draining {
		t.Fatalf("then %+v", l)
	}
	d.Update(func(d *discoverytest.Agent) { close(d.Watches[0]) }) // the connection ends
	waitForWatches(t, d, 2)
	var from string
	var fetches int
	d.Update(func(d *discoverytest.Agent) { from, fetches = d.WatchedFrom[1], d.Fetches })
	if from != "2" || fetches != 1 {
		t.Errorf("goes on from %s after %d fetches", from, fetches)
	}
	for i, bad := range []string{
		`{"revision":3,"members":[{"id":"s-1"`,
		`{"revision":3,"members":[{"id":"s-1","phase":"asleep"}]}`,
		`{"revision":3}`,
		`{"revision":3,"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`,
	} {
		d.SendLine(t, bad)
		if l := nextList(t, lists); !l.Complete {
			t.Fatalf("after line %d: %+v", i, l)
		}
		waitForWatches(t, d, 3+i)
	}
}

// Guards against a watch that is open and dead: one that sends nothing, not
// even an empty line, is given up.
func TestSilentWatch(t *testing.T) {
	d := discoverytest.New(t, core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Phase: core.Up})
	lists := startWatcher(t, d, 100*time.Millisecond)
	nextList(t, lists)
	discoverytest.WaitFor(t, "a second watch", func() bool {
		return d.Check(func() bool { return len(d.WatchedFrom) >= 2 })
	})
}

// Guards against two calls where one will do: a watch that is turned away goes on
// from its version, and a relay that was given a list begins with its version.
func TestWatchTurnedAway(t *testing.T) {
	m := core.Member{ID: "s-1", HostPort: "127.0.0.1:1", Dest: 3, Phase: core.Up}
	d := discoverytest.New(t, m)
	d.Update(func(d *discoverytest.Agent) { d.CallsToReject = 3 })
	lists := make(chan *core.EndpointList, 64)
	scheduler := registry.New(3, 1)
	scheduler.SetRevision(7)
	w := runWatcher(t, WatcherOptions{Address: d.Addr(), Scheduler: scheduler}, lists)
	<-w.FirstResponse() // turned away is an answer: the start does not wait for more
	d.SendLine(t, discoverytest.ChangeText(8, m))
	if l := nextList(t, lists); l.Revision != 8 {
		t.Errorf("got %+v", l)
	}
	d.SendLine(t, discoverytest.ChangeText(6, m)) // older: not believed
	d.SendLine(t, discoverytest.ChangeText(9, m))
	if l := nextList(t, lists); l.Revision != 9 {
		t.Errorf("got %+v", l)
	}
	d.Update(func(d *discoverytest.Agent) {
		want := []string{"watch=1&from=7", "watch=1&from=7", "watch=1&from=7"}
		if !slices.Equal(d.RejectedQueries, want) || d.WatchedFrom[0] != "7" || d.Fetches != 0 {
			t.Errorf("rejected %v, then from %v, %d fetches", d.RejectedQueries, d.WatchedFrom, d.Fetches)
		}
	})
}

// A watch that falls silent in the middle of a list is dead like any other, and
// what it did not send comes from its successor, by the revision that is known.
func TestWatchSilentWithinAList(t *testing.T) {
	queries := make(chan string, 16)
	release := make(chan struct{})
	mux := http.NewServeMux()
	n := 0
	mux.HandleFunc("GET "+ListPath, func(w http.ResponseWriter, r *http.Request) {
		n++
		queries <- r.URL.RawQuery
		switch n {
		case 1:
			write(t, w, "{\"revision\":5,\"complete\":true,\"members\":[]}\n{\n\"revision\":6,\n")
		default:
			write(t, w, "{\n\"revision\": 6,\n\"complete\": false,\n"+
				"\"members\": [{\"id\":\"a\",\"phase\":\"removed\"}]\n}\n")
		}
		w.(http.Flusher).Flush()
		for { // it trickles on, and never ends
			select {
			case <-release:
				return
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
				_, _ = io.WriteString(w, "\n") // its client gives it up at any moment
				w.(http.Flusher).Flush()
			}
		}
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(release) })
	scheduler := registry.New(3, 1)
	scheduler.SetRevision(4)
	lists := make(chan *core.EndpointList, 16)
	runWatcher(t, WatcherOptions{
		Address: srv.Listener.Addr().String(), Scheduler: scheduler, SilenceTimeout: 100 * time.Millisecond,
	}, lists)
	for _, want := range []int64{5, 6} {
		if got := nextList(t, lists).Revision; got != want {
			t.Fatalf("got %d, want %d", got, want)
		}
	}
	if a, b := <-queries, <-queries; a != "watch=1&from=4" || b != "watch=1&from=5" {
		t.Errorf("watched %q, then %q", a, b)
	}
}
