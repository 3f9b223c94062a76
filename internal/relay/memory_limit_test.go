package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards a relay against going over its memory limit, for which it would be killed, while hundreds of
// clients send large requests, stop in the middle of one, send requests with very many short fields, or
// send many small requests ahead; and while it holds all that its log has room for.
func TestMemoryLimit(t *testing.T) {
	program := buildRelay(t)
	largeBody := strings.Repeat("x", 64<<10)
	manyFields := putFields("plain", 8000, 1) + strings.Repeat(",a=1", 1000)
	for name, c := range map[string]struct {
		memoryMB, diskMB int
		answerDelay      time.Duration // of the endpoint
		input            func(client int) string
	}{
		"large requests": {17, 3, 50 * time.Millisecond, func(client int) string {
			whole := encodePut(fmt.Sprint(client), putFields("plain", 8000, 1), []byte(largeBody))
			return whole + whole[:len(whole)/2]
		}},
		"many fields": {20, 3, 50 * time.Millisecond, func(client int) string {
			return repeatPut(client, 20, manyFields)
		}},
		"many requests": {20, 3, 50 * time.Millisecond, func(client int) string {
			return repeatPut(client, 200, putFields("plain", 8000, 1))
		}},
		"large log": {24, 64, 3 * time.Second, func(client int) string {
			return encodePut(fmt.Sprint(client), putFields("plain", 8000, 1), []byte(largeBody))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, answerAfter(c.answerDelay))
			discovery := newFakeDiscovery(t, endpoint.member("s-1", 1))
			env := testConfig(t, discovery, c.diskMB)
			rewriteConfig(t, env, func(text string) string {
				text = strings.Replace(text, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, c.memoryMB), 1)
				return strings.Replace(text, `"most_held":100`, `"most_held":500`, 1)
			})
			env[programEnv] = program
			relay := startAndWait(t, env)
			sendFromMany(t, env["ROUTER_LISTEN"], c.input)
			peak := peakMemory(t, relay.cmd.Process.Pid)
			t.Logf("peak memory %.1f MB", float64(peak)/(1<<20))
			if peak > c.memoryMB<<20 {
				t.Errorf("peak memory of the relay = %d bytes, want at most %d MB", peak, c.memoryMB)
			}
		})
	}
}

// answerAfter returns a handler that answers after a delay, unless the caller has gone by then.
func answerAfter(delay time.Duration) func(http.ResponseWriter, *http.Request, int) {
	return func(_ http.ResponseWriter, r *http.Request, _ int) {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
	}
}

// repeatPut returns a number of small requests of a client, with the given fields.
func repeatPut(client, count int, fields string) string {
	var text strings.Builder
	for n := range count {
		text.WriteString(encodePut(fmt.Sprintf("%d-%d", client, n), fields, []byte("small")))
	}
	return text.String()
}

// sendFromMany connects 400 clients, each of which sends its input and reads until the relay closes the
// connection or a few seconds have passed. It returns when all of them are done.
func sendFromMany(t *testing.T, address string, input func(client int) string) {
	t.Helper()
	const clients, patience = 400, 4 * time.Second
	var done sync.WaitGroup
	for client := range clients {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		done.Add(2)
		// Errors are ignored: the relay may close the connection, and rejects what it cannot hold.
		go func() {
			defer done.Done()
			_, _ = io.WriteString(conn, input(client))
		}()
		go func() {
			defer done.Done()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
	done.Wait()
}

// buildRelay builds the relay and returns the path of the program. The test binary, which acts as a relay
// in other tests, is larger.
func buildRelay(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "relay")
	runCommand(t, filepath.Join("..", ".."), "go", "build", "-o", program, "./cmd/troutusher")
	return program
}

// peakMemory returns the most memory that a process has had resident so far, in bytes, including the pages
// of its program.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatalf("no VmHWM in /proc/%d/status on %s", pid, runtime.GOOS)
	return 0
}
