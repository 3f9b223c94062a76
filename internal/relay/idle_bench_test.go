package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/discovery"
)

// BenchmarkEndpointList starts a relay with one core whose list names so many
// destinations, submits messages to a few of them, and has the whole list sent
// once more meanwhile. Figures of docs/measurements/idle.md:
//
//	go test -run '^$' -bench EndpointList -benchtime 1x -timeout 20m ./internal/relay
func BenchmarkEndpointList(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		for _, awake := range []string{"1024", "-1"} {
			if n > 100_000 && awake == "-1" {
				continue // in the core alone: minutes go by here
			}
			b.Run(fmt.Sprintf("%d/awake=%s", n, awake), func(b *testing.B) { benchmarkEndpointList(b, n, awake) })
		}
	}
}

func benchmarkEndpointList(b *testing.B, n int, awake string) {
	endpoint := newFakeEndpoint(b, nil)
	l := core.EndpointList{Revision: 1, Complete: true}
	for i := range n {
		m := core.Member{
			ID: fmt.Sprintf(
				"shop-%07d-0",
				i,
			),
			HostPort: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255),
			Locality: "a",
			Flavor:   "k",
			Dest:     i,
			Phase:    core.Up,
			Rate:     40,
		}
		if i < 20 {
			m.HostPort = endpoint.addr()
		}
		l.Members = append(l.Members, m)
	}
	text, err := json.Marshal(l)
	if err != nil {
		b.Fatal(err)
	}
	l.Members = nil
	more, done := make(chan bool), make(chan bool)
	d := &fakeDiscovery{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == discovery.NoticesPath {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if r.URL.Query().Get("watch") == "" {
			if _, err := w.Write(text); err != nil {
				b.Error(err)
			}
			return
		}
		w.WriteHeader(http.StatusOK)
		for {
			w.(http.Flusher).Flush()
			select {
			case <-more:
				_, _ = w.Write(append(text, '\n')) // the relay may have ended
			case <-time.After(time.Second):
				_, _ = io.WriteString(w, "\n")
			case <-done:
				return
			}
		}
	}))}
	b.Cleanup(func() { close(done); d.CloseClientConnections(); d.Close() })
	env := testConfig(b, d, 3)
	env["GOMAXPROCS"] = "1"
	env["TROUTUSHER_OPERATOR"] = filepath.Join(b.TempDir(), "operator.toml")
	if err := os.WriteFile(
		env["TROUTUSHER_OPERATOR"],
		fmt.Appendf(nil, "[rest]\nawake = %s\n[discovery]\nlist_mb = 1024\n", awake),
		0o600,
	); err != nil {
		b.Fatal(err)
	}
	began := time.Now()
	c := startChild(b, env)
	started := time.Since(began)
	cl := dialClient(b, env["ROUTER_LISTEN"])
	num := 0
	put := func() time.Duration {
		num++
		began := time.Now()
		if s := cl.put(fmt.Sprint("m-", num), putFields("plain", 20000, num%20), nil); s != "+OK" {
			b.Fatalf("%s", s)
		}
		return time.Since(began)
	}
	puts := func(span time.Duration) (took []time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			took = append(took, put())
		}
		slices.Sort(took)
		return took
	}
	waitFor(b, "the list", func() bool {
		num++
		return cl.put(fmt.Sprint("m-", num), putFields("plain", 20000, num%20), nil) == "+OK"
	})
	puts(3 * time.Second)
	resident := func() float64 {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.cmd.Process.Pid))
		if err != nil {
			b.Skip(err)
		}
		pages, err := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
		if err != nil {
			b.Fatal(err)
		}
		return pages * float64(os.Getpagesize()) / (1 << 20)
	}
	quiet := puts(3 * time.Second)
	more <- true
	busy := puts(8 * time.Second)
	most := resident()
	puts(10 * time.Second) // the memory that the list's text took goes back
	b.ReportMetric(float64(started.Milliseconds()), "ms-to-pong")
	b.ReportMetric(float64(len(text))/(1<<20), "MB-list")
	b.ReportMetric(most, "MB-resident-after")
	b.ReportMetric(resident(), "MB-resident-later")
	b.ReportMetric(float64(quiet[len(quiet)*99/100].Microseconds())/1000, "ms-p99-quiet")
	b.ReportMetric(float64(busy[len(busy)*99/100].Microseconds())/1000, "ms-p99-list")
	b.ReportMetric(float64(busy[len(busy)-1].Microseconds())/1000, "ms-longest-list")
	runtime.KeepAlive(text)
}
