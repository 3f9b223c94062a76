package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/source/registry"
)

// inProcessRelay is a relay in the test's own process, so that its seam can be held.
type inProcessRelay struct {
	env  map[string]string
	stop chan struct{}
	done chan error
}

// startInProcess starts one; at is called at each point of the seam.
func startInProcess(t *testing.T, env map[string]string, at func(point string)) *inProcessRelay {
	t.Helper()
	cfg, err := config.Load(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	failpoint = at
	h := &inProcessRelay{env, make(chan struct{}), make(chan error, 1)}
	go func() { h.done <- Run(cfg, quietLog(), h.stop, ReloadRequests{}) }()
	t.Cleanup(func() {
		h.shutDown()
		select {
		case err := <-h.done:
			if err != nil {
				t.Errorf("relay: %v", err)
			}
		case <-time.After(20 * time.Second):
			t.Error("relay: does not end")
		}
		failpoint = nil
	})
	(&child{env: env}).waitReady(t)
	return h
}

func (h *inProcessRelay) shutDown() {
	select {
	case <-h.stop:
	default:
		close(h.stop)
	}
}

// readReply reads a client's answer; an end with none is a lost message.
func readReply(c net.Conn) string {
	s, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "lost: " + err.Error()
	}
	return strings.TrimSpace(s)
}

// A request that comes in the moment in which a relay that ends lets its clients go
// has its answer, and so has one on a connection that lay in the listener's queue as
// that was closed. Without the front's own word that nothing is open the process
// ended under the first; without letting in who waits the second was reset.
func TestRequestsDuringShutdown(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, ep.member("s-1", 1)), 3)
	var mu sync.Mutex
	got := map[string]net.Conn{}
	send := func(id string, c net.Conn) {
		c.SetDeadline(time.Now().Add(10 * time.Second))
		io.WriteString(c, encodePut(id, putFields("plain", 8000, 1), nil))
		mu.Lock()
		defer mu.Unlock()
		got[id] = c
	}
	var idle net.Conn
	points := make(chan string, 16)
	h := startInProcess(t, env, func(point string) {
		switch point {
		case failpointClientsReleased:
			send("idle", idle)
		case failpointListenersClosing:
			if c, err := net.Dial("tcp", env["ROUTER_LISTEN"]); err == nil {
				send("queued", c)
			}
		case failpointProcessEnd:
		default:
			return // of its start
		}
		points <- point
	})
	cl := dialClient(t, env["ROUTER_LISTEN"])
	idle = cl.Conn
	if s := cl.put("first", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	h.shutDown()
	for seen := 0; seen < 3; seen++ {
		<-points
	}
	mu.Lock()
	defer mu.Unlock()
	for _, id := range []string{"idle", "queued"} {
		c := got[id]
		if c == nil {
			t.Errorf("%s: could not be sent", id)
			continue
		}
		if s := readReply(c); !strings.HasPrefix(s, "+OK") && !strings.HasPrefix(s, "-BUSY") {
			t.Errorf("%s: %s", id, s)
		}
		c.Close()
	}
}

// A command that is half read as its relay ends has its answer once it is whole.
func TestPartialRequestDuringShutdown(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, ep.member("s-1", 1)), 3)
	text := encodePut("half", putFields("plain", 8000, 1), []byte("body"))
	let := make(chan struct{})
	var once sync.Once
	h := startInProcess(t, env, func(point string) {
		if point == failpointClientsReleased {
			once.Do(func() { close(let) })
		}
	})
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("first", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	io.WriteString(cl, text[:len(text)-3])
	h.shutDown()
	<-let
	io.WriteString(cl, text[len(text)-3:])
	if s := readReply(cl); !strings.HasPrefix(s, "+OK") && !strings.HasPrefix(s, "-BUSY") {
		t.Error(s)
	}
}

// feed is the body of a watch that the test writes.
func feed(chunks ...string) io.Reader {
	r, w := io.Pipe()
	go func() {
		for _, c := range chunks {
			io.WriteString(w, c)
		}
		w.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return r
}

// Lists come in whatever lines: indented, two on one, in pieces, with empty lines
// within. An empty line between two is a sign of life and one within a list is not.
// One that its connection's end cuts off is no error of the registry's, and what is
// none is told at its first wrong byte.
func TestListsOfAWatch(t *testing.T) {
	list := func(rev int) string {
		return fmt.Sprintf("{\n  \"revision\": %d,\n\n  \"complete\": false,\n  \"members\": [\n  ]\n}", rev)
	}
	for name, c := range map[string]struct {
		chunks []string
		revs   []int64
		alive  int
		bad    bool
	}{
		"indented":        {[]string{list(1) + "\n", "\n", list(2) + "\n"}, []int64{1, 2}, 1, false},
		"byte by byte":    {strings.Split(list(3)+"\n\n"+list(4), ""), []int64{3, 4}, 2, false},
		"two on one line": {[]string{strings.ReplaceAll(list(5)+list(6), "\n", "")}, []int64{5, 6}, 0, false},
		"empty within":    {[]string{list(7)[:2], "\n", "\n", list(7)[2:]}, []int64{7}, 0, false},
		"cut":             {[]string{list(8), "\n", list(9)[:25]}, []int64{8}, 1, false},
		"begun ahead":     {[]string{list(1) + "\n{", "\n", "\n", list(2)[1:]}, []int64{1, 2}, 0, false},
		"no list":         {[]string{"\n", "nonsense\n"}, nil, 1, true},
		"torn":            {[]string{`{"revision":1,` + "\n" + `{"revision":2,"members":[]}`}, nil, 0, true},
		"other":           {[]string{"[1]\n"}, nil, 0, true},
		"no members":      {[]string{`{"revision":1}`}, nil, 0, true},
	} {
		alive := 0
		in := newListDecoder(feed(c.chunks...), 4096, func() { alive++ })
		var revs []int64
		l, err := in.next()
		for ; err == nil; l, err = in.next() {
			revs = append(revs, l.Revision)
		}
		if fmt.Sprint(revs) != fmt.Sprint(c.revs) || errors.Is(err, errMalformed) != c.bad || alive != c.alive {
			t.Errorf("%s: revisions %v, %d signs of life, %v", name, revs, alive, err)
		}
	}
}

// trickle is a list that never ends.
type trickle struct {
	n     int
	bytes string
}

func (r *trickle) Read(p []byte) (int, error) {
	r.n++
	if r.n == 1 {
		return copy(p, `{"revision":1,"members":[`), nil
	}
	n := 0
	for n+len(r.bytes) <= len(p) {
		n += copy(p[n:], r.bytes)
	}
	return n, nil
}

// A list of any length up to the most is read, and one that never ends is an error
// at that length: in one string, in white space, in member after member. What a long
// one took is not kept.
func TestLengthOfALists(t *testing.T) {
	const most = 1 << 20
	for _, bytes := range []string{"x", " \n", `{"id":"a","phase":"removed"},`} {
		body := &trickle{bytes: bytes}
		if bytes == "x" {
			body.bytes = `{"id":"`
		}
		alive := 0
		if _, err := newListDecoder(body, most, func() { alive++ }).next(); !errors.Is(err, errMalformed) || alive > 0 {
			t.Errorf("%q for ever: %v, %d signs of life", bytes, err, alive)
		}
	}
	for _, n := range []int{0, 1, 1000, 4095, 4096, maxKeptBuffer, most / 2, most - 100} {
		long := `{"revision":1,"members":[],"x":"` + strings.Repeat("b", n) + `"}`
		in := newListDecoder(io.MultiReader(strings.NewReader(long+"\n"+long+"\n"+`{"revision":2,"members":[]}`)), most, func() {})
		for i := range 3 {
			if l, err := in.next(); err != nil || (l.Revision == 2) != (i == 2) {
				t.Fatalf("%d bytes, list %d: %+v, %v", n, i, l, err)
			}
		}
	}
	// Made as it is read: what held it for a reader would be counted as kept.
	in := newListDecoder(io.MultiReader(strings.NewReader(`{"revision":1,"members":[],"x":"`), io.LimitReader(letters{}, most-100),
		strings.NewReader(`"}`+"\n"+`{"revision":2,"members":[]}`)), most, func() {})
	for range 2 {
		if _, err := in.next(); err != nil {
			t.Fatal(err)
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	runtime.KeepAlive(in)
	in = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	if kept := int64(before.HeapAlloc) - int64(after.HeapAlloc); kept > maxKeptBuffer*8 {
		t.Errorf("%d bytes are kept behind a long list", kept)
	}
}

// letters is text without an end.
type letters struct{}

func (letters) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'b'
	}
	return len(p), nil
}

func FuzzLists(f *testing.F) {
	f.Add([]byte("{\"revision\":1,\"complete\":true,\"members\":[]}\n\n{\n}"), 3)
	f.Add([]byte(`{"revision":2,"members":[{"id":"a","phase":"up","host_port":"h:1"}]}[`), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(1, min(size, 4096))
		var chunks []string
		for at := 0; at < len(text); at += size {
			chunks = append(chunks, string(text[at:min(at+size, len(text))]))
		}
		in := newListDecoder(feed(chunks...), 4096, func() {})
		for n := 0; ; n++ {
			l, err := in.next()
			if err != nil {
				return
			}
			if l.Members == nil || n > len(text) {
				t.Fatalf("list %d of %d bytes: %+v", n, len(text), l)
			}
		}
	})
}

// A watch that falls silent in the middle of a list is dead like any other, and
// what it did not say is had from its successor, by the version that is known.
func TestWatchSilentWithinAList(t *testing.T) {
	asked := make(chan string, 16)
	release := make(chan struct{})
	mux := http.NewServeMux()
	n := 0
	mux.HandleFunc("GET "+listPath, func(w http.ResponseWriter, r *http.Request) {
		n++
		asked <- r.URL.RawQuery
		switch n {
		case 1:
			io.WriteString(w, "{\"revision\":5,\"complete\":true,\"members\":[]}\n{\n\"revision\":6,\n")
		default:
			io.WriteString(w, "{\n\"revision\": 6,\n\"complete\": false,\n\"members\": [{\"id\":\"a\",\"phase\":\"removed\"}]\n}\n")
		}
		w.(http.Flusher).Flush()
		for { // it trickles on, and never ends
			select {
			case <-release:
				return
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		}
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: mux}
	go srv.Serve(ln)
	defer srv.Close()
	defer close(release)
	follow := registry.New(3, 1)
	follow.SetRevision(4)
	heard := make(chan int64, 16)
	d := newListWatcher(ln.Addr().String(), quietLog(), follow, func(l *EndpointList) { heard <- l.Revision })
	d.silenceTimeout = 100 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.run(ctx) }()
	defer func() { cancel(); <-done }()
	for _, want := range []int64{5, 6} {
		if got := <-heard; got != want {
			t.Fatalf("heard %d, want %d", got, want)
		}
	}
	if a, b := <-asked, <-asked; a != "watch=1&from=4" || b != "watch=1&from=5" {
		t.Errorf("asked for %q, then %q", a, b)
	}
}
