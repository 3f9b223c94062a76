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

// BenchmarkEndpointList measures a relay on one CPU core whose endpoint list has from 1,000 to
// 1,000,000 destinations, while messages are submitted to a few of them and the complete list is
// sent once more. It gives the figures of docs/measurements/idle.md:
//
//	go test -run '^$' -bench EndpointList -benchtime 1x -timeout 20m ./internal/relay
func BenchmarkEndpointList(b *testing.B) {
	for _, n := range []int{1000, 100_000, 1_000_000} {
		for _, maxActive := range []string{"1024", "-1"} {
			if n > 100_000 && maxActive == "-1" {
				continue // with all destinations active, this takes minutes
			}
			b.Run(fmt.Sprintf("%d/awake=%s", n, maxActive), func(b *testing.B) {
				benchmarkEndpointList(b, n, maxActive)
			})
		}
	}
}

func benchmarkEndpointList(b *testing.B, n int, maxActive string) {
	endpoint := newFakeEndpoint(b, nil)
	list := core.EndpointList{Revision: 1, Complete: true}
	for i := range n {
		member := core.Member{
			ID:       fmt.Sprintf("shop-%07d-0", i),
			HostPort: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255),
			Locality: "a",
			Flavor:   "k",
			Dest:     i,
			Phase:    core.Up,
			Rate:     40,
		}
		if i < 20 {
			member.HostPort = endpoint.addr()
		}
		list.Members = append(list.Members, member)
	}
	text, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	list.Members = nil
	resend, done := make(chan bool), make(chan bool)
	agent := &fakeDiscovery{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
			case <-resend:
				_, _ = w.Write(append(text, '\n')) // the relay may have exited
			case <-time.After(time.Second):
				_, _ = io.WriteString(w, "\n")
			case <-done:
				return
			}
		}
	}))}
	b.Cleanup(func() { close(done); agent.CloseClientConnections(); agent.Close() })
	env := testConfig(b, agent, 3)
	env["GOMAXPROCS"] = "1"
	env["TROUTUSHER_OPERATOR"] = filepath.Join(b.TempDir(), "operator.toml")
	if err := os.WriteFile(
		env["TROUTUSHER_OPERATOR"],
		fmt.Appendf(nil, "[rest]\nawake = %s\n[discovery]\nlist_mb = 1024\n", maxActive),
		0o600,
	); err != nil {
		b.Fatal(err)
	}
	began := time.Now()
	relay := startChild(b, env)
	started := time.Since(began)
	client := dialClient(b, env["ROUTER_LISTEN"])
	sent := 0
	submit := func() time.Duration {
		sent++
		began := time.Now()
		if s := client.put(fmt.Sprint("m-", sent), putFields("plain", 20000, sent%20), nil); s != "+OK" {
			b.Fatalf("put(m-%d) = %s, want +OK", sent, s)
		}
		return time.Since(began)
	}
	submitFor := func(duration time.Duration) (latencies []time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			latencies = append(latencies, submit())
		}
		slices.Sort(latencies)
		return latencies
	}
	waitFor(b, "the first message to be accepted", func() bool {
		sent++
		return client.put(fmt.Sprint("m-", sent), putFields("plain", 20000, sent%20), nil) == "+OK"
	})
	submitFor(3 * time.Second)
	resident := func() float64 {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", relay.cmd.Process.Pid))
		if err != nil {
			b.Skip(err)
		}
		pages, err := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
		if err != nil {
			b.Fatal(err)
		}
		return pages * float64(os.Getpagesize()) / (1 << 20)
	}
	quietLatencies := submitFor(3 * time.Second)
	resend <- true
	busyLatencies := submitFor(8 * time.Second)
	residentAfterList := resident()
	submitFor(10 * time.Second) // the memory of the list's text is released
	b.ReportMetric(float64(started.Milliseconds()), "ms-to-pong")
	b.ReportMetric(float64(len(text))/(1<<20), "MB-list")
	b.ReportMetric(residentAfterList, "MB-resident-after")
	b.ReportMetric(resident(), "MB-resident-later")
	b.ReportMetric(float64(quietLatencies[len(quietLatencies)*99/100].Microseconds())/1000, "ms-p99-quiet")
	b.ReportMetric(float64(busyLatencies[len(busyLatencies)*99/100].Microseconds())/1000, "ms-p99-list")
	b.ReportMetric(float64(busyLatencies[len(busyLatencies)-1].Microseconds())/1000, "ms-longest-list")
	runtime.KeepAlive(text)
}
