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

// testTimeout bounds every wait of a test.
const testTimeout = 20 * time.Second

// echoHandler handles PING and GIVE at once, and SAY as a pending request: it is
// replied to by deferReply, or at once if that is nil or returns false.
type echoHandler struct {
	server     *Server
	deferReply func(id RequestID, arg string) bool

	mu        sync.Mutex
	received  []string
	delivered map[string]bool
}

type echoRequest struct {
	handler *echoHandler
	arg     string
}

func (r *echoRequest) ReplyDone(written bool) {
	r.handler.mu.Lock()
	defer r.handler.mu.Unlock()
	if _, twice := r.handler.delivered[r.arg]; twice {
		panic("ReplyDone was called twice for " + r.arg)
	}
	r.handler.delivered[r.arg] = written
}

func (h *echoHandler) handle(command *Command) Reply {
	args := command.Args
	switch string(args[0]) {
	case "PING":
		return Reply{Text: "+PONG\r\n", Kind: connlimit.CommandControl}
	case "GIVE": // a thousand bytes for each byte of the last argument
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

// captureRequests has the handler leave its requests open. Their IDs come over
// the channel.
func (h *echoHandler) captureRequests() <-chan RequestID {
	ids := make(chan RequestID, 1)
	h.deferReply = func(id RequestID, _ string) bool {
		ids <- id
		return true
	}
	return ids
}

// testOptions are options with room for a hundred connections and no handler.
func testOptions() Options {
	return Options{
		Limits: connlimit.DefaultLimits(100, 300), MemoryLimit: 8 << 20, Logger: slog.New(slog.DiscardHandler),
	}
}

// startServer runs a server with an echoHandler until the test ends.
func startServer(t testing.TB, options Options) (*Server, *echoHandler) {
	t.Helper()
	handler := &echoHandler{delivered: map[string]bool{}}
	options.Handler = handler.handle
	server, err := New(options, "127.0.0.1:0", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	handler.server = server
	runServer(t, server)
	return server, handler
}

// runServer runs a server until the test ends.
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

// send sends bytes as they are.
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

// readLine reads a line of a reply.
func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no reply: %v", err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

func (c *testClient) expectLine(want string) {
	c.t.Helper()
	if line := c.readLine(); line != want {
		c.t.Errorf("reply %q, want %q", line, want)
	}
}

// expectClosed reads the end of the connection, and nothing before it.
func (c *testClient) expectClosed() {
	c.t.Helper()
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("still open: %v", err)
	}
}

// ping sends a command and reads its reply.
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

func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

func (s *Server) connsInUse() (n int) {
	s.Inspect(func(limiter *connlimit.Limiter) { n = limiter.InUse() })
	return n
}

func (s *Server) memoryInUse() (bytes int) {
	s.Inspect(func(*connlimit.Limiter) { bytes = s.memoryUsed })
	return bytes
}

// whileLoopBlocked calls a function between two turns of the event loop.
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
