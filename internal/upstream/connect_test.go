package upstream

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// fullListener is an endpoint whose accept queue is full: connections to it do not come
// up before the first one, which fills the queue, is accepted.
func fullListener(t *testing.T) net.Listener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // the listener has a descriptor of its own
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	filler, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = filler.Close() })
	return listener
}

// A connection that never comes up is given up after the connect timeout, long before
// the call's own; nothing ran, and nothing is left open.
func TestConnectionNeverComesUp(t *testing.T) {
	pool := testPool(t)
	pool.connectTimeout = 200 * time.Millisecond
	endpoint := openPlain(pool, fullListener(t).Addr().String())
	start := time.Now()
	if result := callOnce(t, endpoint, Request{ID: "m"}); result.Outcome != policy.ConnectFailed {
		t.Errorf("got %+v", result)
	}
	if took := time.Since(start); took > testTimeout/2 {
		t.Errorf("given up after %v", took)
	}
	if open, _ := pool.counts(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}

// A connection that comes up late, but within the connect timeout, carries the call
// once.
func TestConnectionComesUpLate(t *testing.T) {
	listener := fullListener(t)
	pool := testPool(t)
	pool.connectTimeout = testTimeout
	results, ended := startAndWatch(openPlain(pool, listener.Addr().String()), Request{ID: "m"})
	waitFor(t, "a connection that is being dialled", func() bool {
		open, _ := pool.counts()
		return open == 1
	})
	if _, err := listener.Accept(); err != nil { // the queue is free
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if !upstreamtest.ReadRequest(reader) {
		t.Fatal("no request")
	}
	respond(conn, upstreamtest.OKResponse)
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("got %+v", result)
	}
	<-ended
}
