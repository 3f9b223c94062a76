package respserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"troutusher/internal/connlimit"
)

// testTimeout is the maximum time of every wait in a test.
const testTimeout = 20 * time.Second

// echoHandler replies to PING and GIVE at once and makes SAY a pending request. If deferReply is nil or
// returns false for a request, the handler sends its reply without delay.
type echoHandler struct {
	server     *Server
	deferReply func(id RequestID, arg string) bool

	mu           sync.Mutex
	received     []string
	replyWritten map[string]bool
}

type echoRequest struct {
	handler *echoHandler
	arg     string
}

func (r *echoRequest) ReplyDone(written bool) {
	r.handler.mu.Lock()
	defer r.handler.mu.Unlock()
	if _, called := r.handler.replyWritten[r.arg]; called {
		panic("ReplyDone was called twice for " + r.arg)
	}
	r.handler.replyWritten[r.arg] = written
}

func (h *echoHandler) handle(command *Command) Reply {
	args := command.Args
	switch string(args[0]) {
	case "PING":
		return Reply{Text: "+PONG\r\n", Kind: connlimit.CommandControl}
	case "GIVE": // replies with a thousand bytes for each byte of the last argument
		text := "$" + string(args[1]) + "\r\n" + strings.Repeat("g", len(args[2])*1000) + "\r\n"
		return Reply{Text: text, Kind: connlimit.CommandControl}
	case "SAY":
		if command.Shed {
			return Reply{Text: BusyReply(command.RetryAfter.Milliseconds()), Kind: connlimit.CommandRequest}
		}
		arg := string(args[1])
		h.mu.Lock()
		h.received = append(h.received, arg)
		h.mu.Unlock()
		if h.deferReply == nil || !h.deferReply(command.ID, arg) {
			go h.server.SendReply(command.ID, "+OK\r\n")
		}
		return Reply{
			Kind:    connlimit.CommandRequest,
			Pending: &echoRequest{h, arg}, PendingBytes: len(args[len(args)-1]),
		}
	}
	return Reply{Text: ErrorReply(errors.New("unknown command"))}
}

// captureRequests makes the handler leave requests without a reply. It returns a channel that receives
// their IDs.
func (h *echoHandler) captureRequests() <-chan RequestID {
	ids := make(chan RequestID, 1)
	h.deferReply = func(id RequestID, _ string) bool {
		ids <- id
		return true
	}
	return ids
}

// testOptions returns options for a hundred connections, without a handler.
func testOptions() Options {
	return Options{
		Limits: connlimit.DefaultLimits(100, 300), MemoryLimit: 8 << 20, Logger: slog.New(slog.DiscardHandler),
	}
}

// startServer runs a server with an echoHandler until the end of the test.
func startServer(t testing.TB, options Options) (*Server, *echoHandler) {
	t.Helper()
	handler := &echoHandler{replyWritten: map[string]bool{}}
	options.Handler = handler.handle
	server, err := New(options, "127.0.0.1:0", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	handler.server = server
	runServer(t, server)
	return server, handler
}

// runServer runs a server until the end of the test.
func runServer(t testing.TB, server *Server) {
	t.Helper()
	ended := make(chan error, 1)
	t.Cleanup(func() {
		server.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	go func() { ended <- server.Run() }()
}

// testClient is a client's connection.
type testClient struct {
	net.Conn
	t  testing.TB
	in *bufio.Reader
}

func dial(t testing.TB, addr net.Addr) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &testClient{Conn: conn, t: t, in: bufio.NewReader(conn)}
}

// send sends text without encoding it as a command.
func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

func (c *testClient) sendCommand(args ...string) {
	c.t.Helper()
	c.send(encodeCommand(args...))
}

// readLine reads one line of a reply and returns it without its line end.
func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read a line of a reply: %v", err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

func (c *testClient) expectLine(want string) {
	c.t.Helper()
	if line := c.readLine(); line != want {
		c.t.Errorf("reply = %q, want %q", line, want)
	}
}

// expectClosed checks that the server closes the connection and sends nothing before that.
func (c *testClient) expectClosed() {
	c.t.Helper()
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("read from a connection that should be closed: err = %v, want EOF", err)
	}
}

// ping sends PING and checks its reply.
func (c *testClient) ping() {
	c.t.Helper()
	c.sendCommand("PING")
	c.expectLine("+PONG")
}

func encodeCommand(args ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return text.String()
}

// waitUntil waits until condition returns true and fails the test if that takes too long.
func waitUntil(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", description)
}

func (s *Server) connsInUse() (n int) {
	s.Inspect(func(limiter *connlimit.Limiter) { n = limiter.InUse() })
	return n
}

func (s *Server) memoryInUse() (bytes int) {
	s.Inspect(func(*connlimit.Limiter) { bytes = s.memoryUsed })
	return bytes
}

// whileLoopBlocked calls a function while a task blocks the event loop.
func (s *Server) whileLoopBlocked(do func()) {
	blocked, finished := make(chan struct{}), make(chan struct{})
	s.runOnLoop(func() {
		close(blocked)
		<-finished
	})
	<-blocked
	do()
	close(finished)
}
