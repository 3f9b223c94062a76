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

// fullListener returns a listener whose accept queue is full. New connections to it do not
// open until the test accepts the first one, which fills the queue.
func fullListener(t *testing.T) net.Listener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // the listener has a duplicate of the descriptor
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

// Guards against a call that waits for a connection longer than the connect timeout. The
// call must fail long before its own timeout as one that never ran, and leave no
// connection open.
func TestConnectionNeverComesUp(t *testing.T) {
	pool := testPool(t)
	pool.connectTimeout = 200 * time.Millisecond
	endpoint := openPlain(pool, fullListener(t).Addr().String())
	start := time.Now()
	if result := callOnce(t, endpoint, Request{ID: "m"}); result.Outcome != policy.ConnectFailed {
		t.Errorf("Call.Do reported %+v, want outcome ConnectFailed", result)
	}
	if elapsed := time.Since(start); elapsed > testTimeout/2 {
		t.Errorf("call ended after %v, want at most %v", elapsed, testTimeout/2)
	}
	if open, _ := pool.counts(); open != 0 {
		t.Errorf("open connections = %d, want 0", open)
	}
}

// Guards against losing or repeating a call whose connection opens slowly, but within the
// connect timeout.
func TestConnectionComesUpLate(t *testing.T) {
	listener := fullListener(t)
	pool := testPool(t)
	pool.connectTimeout = testTimeout
	results, ended := startAndWatch(openPlain(pool, listener.Addr().String()), Request{ID: "m"})
	waitFor(t, "a connection that is being dialled", func() bool {
		open, _ := pool.counts()
		return open == 1
	})
	if _, err := listener.Accept(); err != nil { // frees the accept queue
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if !upstreamtest.ReadRequest(reader) {
		t.Fatal("endpoint received no complete request")
	}
	respond(conn, upstreamtest.OKResponse)
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("Call.Do reported %+v, want outcome Delivered", result)
	}
	<-ended
}
