package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// pingText is the command PING.
const pingText = "*1\r\n$4\r\nPING\r\n"

// testClient submits messages over one connection.
type testClient struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

func dialClient(t testing.TB, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &testClient{t, conn, bufio.NewReader(conn)}
}

func encodePut(id, fields string, body []byte) string {
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, s := range []string{"MSG.PUT", "0000000000000000", id, fields, string(body)} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(s), s)
	}
	return b.String()
}

func putFields(class string, deadlineMS int, dest int) string {
	fields := fmt.Sprintf("c=%s,t=acme,d=%d,dest=%d", class, deadlineMS, dest)
	if class == "keyed" {
		fields += ",k=5c0f6e1a2b3d4c59"
	}
	return fields
}

func (c *testClient) put(id, fields string, body []byte) string {
	c.t.Helper()
	c.send(encodePut(id, fields, body))
	return c.readLine()
}

// mustPut submits a message, which must be accepted.
func (c *testClient) mustPut(id, fields string, body []byte) {
	c.t.Helper()
	if reply := c.put(id, fields, body); reply != "+OK" {
		c.t.Fatalf("put(%s) = %s, want +OK", id, reply)
	}
}

// send writes the text of commands or of part of a command.
func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Errorf("sending a command: %v", err)
	}
}

func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("reading a reply: %v", err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// mustSubmitOnce submits non-idempotent messages, which must be accepted; dests has their ids and
// destinations.
func mustSubmitOnce(t *testing.T, client *testClient, dests map[string]int) {
	t.Helper()
	for id, dest := range dests {
		client.mustPut(id, putFields("once", 20000, dest), nil)
	}
}

// callConsole sends one call to a console and returns its answer.
func callConsole(addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	text, err := io.ReadAll(conn)
	return string(text), err
}

func mustCall(t *testing.T, addr, line string) string {
	t.Helper()
	answer, err := callConsole(addr, line)
	if err != nil {
		t.Fatalf("console call %s: %v", line, err)
	}
	return answer
}

// readStats returns the values that the console reports on STATS, by name without their prefix.
func readStats(t *testing.T, addr string) map[string]int64 {
	t.Helper()
	text := mustCall(t, addr, "STATS")
	body, ok := strings.CutSuffix(text, "END\n")
	if !ok {
		t.Fatalf("STATS = %q, want it to end with END", text)
	}
	stats := map[string]int64{}
	for line := range strings.Lines(body) {
		name, rest, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(line), "edge_router."), ":")
		value, unit, _ := strings.Cut(rest, "|")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || unit != "c" && unit != "g" {
			t.Fatalf("line of STATS = %q, want name:number|c or name:number|g", line)
		}
		stats[name] = n
	}
	return stats
}
