package relay

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/internal/config"
)

// inProcessRelay is a relay in the test's own process, so that it can be stopped at a failpoint.
type inProcessRelay struct {
	env  map[string]string
	stop chan struct{}
	done chan error
}

// startInProcess starts one; at is called at each failpoint.
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
// that was closed. Without the RESP server's own report that nothing is open the process
// ended under the first; without letting in who waits the second was reset.
func TestRequestsDuringShutdown(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	var mu sync.Mutex
	got := map[string]net.Conn{}
	send := func(id string, c net.Conn) {
		if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Error(err)
		}
		if _, err := io.WriteString(c, encodePut(id, putFields("plain", 8000, 1), nil)); err != nil {
			t.Error(err)
		}
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
	cl.mustPut("first", putFields("plain", 8000, 1), nil)
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
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	}
}

// A command that is half read as its relay ends has its answer once it is whole.
func TestPartialRequestDuringShutdown(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	text := encodePut("half", putFields("plain", 8000, 1), []byte("body"))
	let := make(chan struct{})
	var once sync.Once
	h := startInProcess(t, env, func(point string) {
		if point == failpointClientsReleased {
			once.Do(func() { close(let) })
		}
	})
	cl := dialClient(t, env["ROUTER_LISTEN"])
	cl.mustPut("first", putFields("plain", 8000, 1), nil)
	cl.send(text[:len(text)-3])
	h.shutDown()
	<-let
	cl.send(text[len(text)-3:])
	if s := readReply(cl); !strings.HasPrefix(s, "+OK") && !strings.HasPrefix(s, "-BUSY") {
		t.Error(s)
	}
}
