package console

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

func testHandlers() Handlers {
	b := NewStats([]string{"termin", "placanje"})
	b.SetOutcomes(0, Outcomes{Delivered: 812, Deferred: 3, Failed: 1})
	b.AddShed(0)
	b.Sends.Store(900)
	b.Pending.Store(14)
	b.Endpoints.Store(22)
	b.UnhealthyEndpoints.Store(2)
	say := func(yes bool, why string) func() (bool, string) { return func() (bool, string) { return yes, why } }
	return Handlers{Ready: say(false, "starting"), Drain: say(true, "draining"), Undrain: say(true, "serving"), Stats: b.AppendTo}
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

func startConsole(t *testing.T) *Server {
	t.Helper()
	c, err := Listen("127.0.0.1:0", testHandlers(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go c.Serve()
	t.Cleanup(c.Close)
	return c
}

func dial(t *testing.T, c *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", c.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return conn
}

func readAll(t *testing.T, conn net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestCommands(t *testing.T) {
	c := startConsole(t)
	for _, x := range []struct{ call, want string }{
		{"READY\n", "NO starting\n"}, {"drain\r\n", "YES draining\n"}, {" UNDRAIN \n", "YES serving\n"}, {"STATS\n", wantStats},
		{"DISABLE\n", "NO unknown call \"DISABLE\", known are READY, STATS, DRAIN, UNDRAIN\n"},
		{"\n", "NO unknown call \"\", known are READY, STATS, DRAIN, UNDRAIN\n"},
		{"READY\nSTATS\n", "NO starting\n"}, // one call a connection
		{strings.Repeat("x", MaxLineBytes), "NO call too long\n"},
	} {
		conn := dial(t, c)
		io.WriteString(conn, x.call)
		if got := readAll(t, conn); got != x.want {
			t.Errorf("%q: %q, want %q", x.call, got, x.want)
		}
	}
	conn := dial(t, c) // in pieces
	for _, b := range []byte("REA") {
		conn.Write([]byte{b})
	}
	io.WriteString(conn, "DY\n")
	if got := readAll(t, conn); got != "NO starting\n" {
		t.Errorf("in pieces: %q", got)
	}
}

// Callers that connect and say nothing, or half a call, keep nobody out: the
// one that has been silent for longest makes room.
func TestSilentClientsAreEvicted(t *testing.T) {
	c := startConsole(t)
	silent := make([]net.Conn, 3*MaxConns)
	for i := range silent {
		silent[i] = dial(t, c)
		if i%2 == 0 {
			io.WriteString(silent[i], "REA")
		}
		conn := dial(t, c)
		io.WriteString(conn, "READY\n")
		if got, err := bufio.NewReader(conn).ReadString('\n'); got != "NO starting\n" {
			t.Fatalf("after %d silent callers: %q, %v", i+1, got, err)
		}
	}
	if got, err := io.ReadAll(silent[0]); len(got) > 0 {
		t.Errorf("the oldest heard %q, %v", got, err)
	}
	last := silent[len(silent)-1]
	io.WriteString(last, "READY\n")
	if got := readAll(t, last); got != "NO starting\n" {
		t.Errorf("the newest: %q", got)
	}
}

// Whatever comes, in whatever pieces, the same line is read, and within bounds.
func FuzzFirstLine(f *testing.F) {
	for _, s := range []string{"READY\n", "\r\n", "STATS\r\nDRAIN\n", strings.Repeat("a", MaxLineBytes), strings.Repeat("b", MaxLineBytes-1) + "\n", "\x00\xff\n"} {
		f.Add([]byte(s))
	}
	calls := testHandlers()
	f.Fuzz(func(t *testing.T, in []byte) {
		want, whole, err := FirstLine(in)
		for n := range in {
			line, w, e := FirstLine(in[:n])
			if e != nil && err == nil || w && (!whole || !bytes.Equal(line, want)) {
				t.Fatalf("%d bytes: %q %v %v; all: %q %v %v", n, line, w, e, want, whole, err)
			}
		}
		if !whole {
			return
		}
		if len(want) >= MaxLineBytes || bytes.IndexByte(want, '\n') >= 0 {
			t.Fatalf("line %q", want)
		}
		got := calls.Execute(want)
		if s := string(got); s != wantStats && !strings.HasPrefix(s, "YES ") && !strings.HasPrefix(s, "NO ") || s[len(s)-1] != '\n' {
			t.Fatalf("%q: answer %q", want, got)
		}
	})
}

func BenchmarkStats(b *testing.B) {
	calls := testHandlers()
	b.ReportAllocs()
	for b.Loop() {
		calls.Execute([]byte("STATS"))
	}
}
