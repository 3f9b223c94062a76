package console

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

func testHandlers() Handlers {
	stats := NewStats([]string{"termin", "placanje"})
	stats.SetOutcomes(0, Outcomes{Delivered: 812, Deferred: 3, Failed: 1})
	stats.AddShed(0)
	stats.Sends.Store(900)
	stats.Pending.Store(14)
	stats.Endpoints.Store(22)
	stats.UnhealthyEndpoints.Store(2)
	always := func(ok bool, reason string) func() (bool, string) {
		return func() (bool, string) { return ok, reason }
	}
	return Handlers{
		Ready: always(false, "starting"), Drain: always(true, "draining"), Undrain: always(true, "serving"),
		Stats: stats.AppendTo,
	}
}

const wantStats = `edge_router.answered.termin:812|c
edge_router.deferred.termin:4|c
edge_router.errored.termin:1|c
edge_router.answered.placanje:0|c
edge_router.deferred.placanje:0|c
edge_router.errored.placanje:0|c
edge_router.sends:900|c
edge_router.current:14|g
edge_router.cluster_size:22|g
edge_router.cluster_unhealthy:2|g
END
`

// startServer runs a console until the end of the test, which waits for its connections to end.
func startServer(t *testing.T) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", testHandlers(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Serve()
	}()
	t.Cleanup(func() {
		server.Close()
		<-ended
	})
	return server
}

func dial(t *testing.T, server *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Error(err)
	}
}

// readAll reads until the server closes the connection.
func readAll(t *testing.T, conn net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestCommands(t *testing.T) {
	server := startServer(t)
	for input, want := range map[string]string{
		"READY\n":                         "NO starting\n",
		"drain\r\n":                       "YES draining\n",
		" UNDRAIN \n":                     "YES serving\n",
		"STATS\n":                         wantStats,
		"DISABLE\n":                       "NO unknown call \"DISABLE\", known are READY, STATS, DRAIN, UNDRAIN\n",
		"\n":                              "NO unknown call \"\", known are READY, STATS, DRAIN, UNDRAIN\n",
		"READY\nSTATS\n":                  "NO starting\n", // one command a connection
		strings.Repeat("x", maxLineBytes): "NO call too long\n",
	} {
		conn := dial(t, server)
		send(t, conn, input)
		if got := readAll(t, conn); got != want {
			t.Errorf("reply to %q = %q, want %q", input, got, want)
		}
	}
	conn := dial(t, server) // a command sent in several pieces
	for _, b := range []byte("REA") {
		send(t, conn, string(b))
	}
	send(t, conn, "DY\n")
	if got := readAll(t, conn); got != "NO starting\n" {
		t.Errorf("reply to READY sent in pieces = %q, want \"NO starting\\n\"", got)
	}
}

// Clients that connect and send nothing, or only part of a command, must not keep others out: the one
// that has waited longest is closed to admit a new connection.
func TestSilentClientsAreEvicted(t *testing.T) {
	server := startServer(t)
	silent := make([]net.Conn, 3*maxConns)
	for i := range silent {
		silent[i] = dial(t, server)
		if i%2 == 0 {
			send(t, silent[i], "REA")
		}
		conn := dial(t, server)
		send(t, conn, "READY\n")
		if got, err := bufio.NewReader(conn).ReadString('\n'); got != "NO starting\n" {
			t.Fatalf("reply to READY with %d silent clients = %q, %v, want \"NO starting\\n\"", i+1, got, err)
		}
	}
	if got, err := io.ReadAll(silent[0]); len(got) > 0 {
		t.Errorf("oldest silent client read %q, %v, want only a close", got, err)
	}
	last := silent[len(silent)-1]
	send(t, last, "READY\n")
	if got := readAll(t, last); got != "NO starting\n" {
		t.Errorf("reply to the newest silent client = %q, want \"NO starting\\n\"", got)
	}
}
