package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// Guards a drain and its end, three times in a row: a draining relay must reject PING on every
// connection, must still accept messages on open connections, and must close each connection once
// it is idle. After UNDRAIN it must serve as before.
func TestDrainAndUndrain(t *testing.T) {
	endpoint := newFakeEndpoint(t, respondStatus(http.StatusOK))
	discovery := newFakeDiscovery(t, endpoint.member("e1", 1))
	env := testConfig(t, discovery, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	startChild(t, env)
	console := env["ROUTER_CONSOLE"]
	if got := mustCall(t, console, "READY"); got != "YES serving\n" {
		t.Fatalf("READY = %q, want %q", got, "YES serving\n")
	}
	for round := range 3 {
		idle := dialClient(t, env["ROUTER_LISTEN"])
		if got := idle.put(fmt.Sprintf("before-%d", round), putFields("plain", 8000, 1), nil); got != "+OK" {
			t.Fatalf("put() before the drain = %q, want +OK", got)
		}
		partial := dialClient(t, env["ROUTER_LISTEN"])
		text := encodePut(fmt.Sprintf("half-%d", round), putFields("plain", 8000, 1), nil)
		partial.send(text[:30])
		if got := mustCall(t, console, "DRAIN"); got != "YES draining\n" {
			t.Fatalf("DRAIN = %q, want %q", got, "YES draining\n")
		}
		if _, err := idle.reader.ReadByte(); err != io.EOF {
			t.Errorf("read on the idle connection while draining: %v, want EOF", err)
		}
		pinging := dialClient(t, env["ROUTER_LISTEN"])
		pinging.send(pingText)
		if got := pinging.readLine(); got == "+PONG" {
			t.Errorf("PING while draining = %q, want another reply", got)
		}
		if _, err := pinging.reader.ReadByte(); err != io.EOF {
			t.Errorf("read after the reply to PING while draining: %v, want EOF", err)
		}
		partial.send(text[30:])
		if got := partial.readLine(); got != "+OK" {
			t.Errorf("reply to a command begun before the drain = %q, want +OK", got)
		}
		if _, err := partial.reader.ReadByte(); err != io.EOF {
			t.Errorf("read after the reply to a command begun before the drain: %v, want EOF", err)
		}
		late := dialClient(t, env["ROUTER_LISTEN"])
		if got := late.put(fmt.Sprintf("late-%d", round), putFields("plain", 8000, 1), nil); got != "+OK" {
			t.Errorf("put() while draining = %q, want +OK", got)
		}
		if got := mustCall(t, console, "UNDRAIN"); got != "YES serving\n" {
			t.Fatalf("UNDRAIN = %q, want %q", got, "YES serving\n")
		}
		undrained := dialClient(t, env["ROUTER_LISTEN"])
		for range 2 { // the second one shows that the connection stays open
			undrained.send(pingText)
			if got := undrained.readLine(); got != "+PONG" {
				t.Errorf("PING after the drain = %q, want +PONG", got)
			}
		}
	}
	waitFor(t, "nine deliveries", func() bool { return readStats(t, console)["answered.plain"] == 9 })
}

// Guards the figures of STATS against miscounting: after thousands of messages with every kind of
// outcome they must agree with the replies to clients, the notices to the platform and the calls
// that the endpoints received. During the traffic no counter may decrease.
func TestStatsMatchObservedCounts(t *testing.T) {
	endpoint := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		id := r.Header.Get("X-Request-ID")
		switch n, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:]); {
		case n%7 == 3:
			w.WriteHeader(http.StatusInternalServerError)
		case n%11 == 5:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
	})
	draining := endpoint.member("e2", 2)
	draining.Phase = "draining"
	d := newFakeDiscovery(t, endpoint.member("e1", 1), draining)
	env := testConfig(t, d, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	startChild(t, env)
	console := env["ROUTER_CONSOLE"]
	const clients, each = 8, 250
	type outcomes struct{ ok, busy, wrong int }
	counts := make(chan map[string]*outcomes, clients)
	for c := range clients {
		conn := dialClient(t, env["ROUTER_LISTEN"])
		go func() {
			got := map[string]*outcomes{"plain": {}, "keyed": {}, "once": {}}
			defer func() { counts <- got }()
			for i := range each {
				class, dest := []string{"plain", "keyed", "once"}[i%3], 1
				if i%50 == 49 {
					dest = 9 // not in the endpoint list
				}
				conn.send(encodePut(fmt.Sprintf("%s-%d-%d", class, c, i), putFields(class, 300, dest), []byte("x")))
				line, err := conn.reader.ReadString('\n')
				switch {
				case err != nil:
					return
				case strings.HasPrefix(line, "+OK"):
					got[class].ok++
				case strings.HasPrefix(line, "-BUSY"):
					got[class].busy++
				default:
					got[class].wrong++
					if err := conn.Close(); err != nil {
						return
					}
					if conn.Conn, err = net.Dial("tcp", env["ROUTER_LISTEN"]); err != nil {
						return
					}
					conn.reader.Reset(conn.Conn)
				}
			}
		}()
	}
	totals := map[string]*outcomes{"plain": {}, "keyed": {}, "once": {}}
	previous := readStats(t, console)
	for left := clients; left > 0; {
		select {
		case got := <-counts:
			left--
			for class, counted := range got {
				s := totals[class]
				s.ok, s.busy, s.wrong = s.ok+counted.ok, s.busy+counted.busy, s.wrong+counted.wrong
			}
		default:
			now := readStats(t, console)
			for name, v := range previous { // counters never decrease
				if name != "current" && !strings.HasPrefix(name, "cluster") && now[name] < v {
					t.Errorf("counter %s decreased from %d to %d", name, v, now[name])
				}
			}
			previous = now
		}
	}
	waitFor(t, "all messages to end", func() bool { return readStats(t, console)["current"] == 0 })
	got := readStats(t, console)
	handedBack, givenUp := map[string]int{}, map[string]int{}
	waitFor(t, "a notice for each message that was accepted and not delivered", func() bool {
		clear(handedBack)
		clear(givenUp)
		n := 0
		d.Update(func(d *fakeDiscovery) {
			for id, x := range d.Notices {
				n++
				if x.Outcome == "handed_back" {
					handedBack[id[:strings.IndexByte(id, '-')]]++
				} else {
					givenUp[id[:strings.IndexByte(id, '-')]]++
				}
			}
		})
		ended := 0
		for class, s := range totals {
			ended += s.ok - int(got["answered."+class])
		}
		return n == ended
	})
	total := 0
	for class, s := range totals {
		total += s.ok + s.busy + s.wrong
		if want := s.ok - handedBack[class] - givenUp[class]; got["answered."+class] != int64(want) {
			t.Errorf("answered.%s = %d, want %d", class, got["answered."+class], want)
		}
		if want := s.busy + handedBack[class]; got["deferred."+class] != int64(want) {
			t.Errorf("deferred.%s = %d, want %d", class, got["deferred."+class], want)
		}
		if want := s.wrong + givenUp[class]; got["errored."+class] != int64(want) {
			t.Errorf("errored.%s = %d, want %d", class, got["errored."+class], want)
		}
		if s.ok == 0 || handedBack["plain"]+handedBack["keyed"] == 0 || givenUp["once"] == 0 {
			t.Errorf("class %s: replies %+v, handed back %v, given up %v; want every kind of outcome",
				class, s, handedBack, givenUp)
		}
	}
	if total != clients*each {
		t.Errorf("replies = %d, want %d, one for each message", total, clients*each)
	}
	endpoint.mu.Lock()
	calls := len(endpoint.calls)
	endpoint.mu.Unlock()
	if got["sends"] != int64(calls) {
		t.Errorf("sends = %d, want %d, the calls that were received", got["sends"], calls)
	}
	if got["cluster_size"] != 2 || got["cluster_unhealthy"] < 1 {
		t.Errorf("cluster_size = %d, want 2; cluster_unhealthy = %d, want at least 1, the draining endpoint",
			got["cluster_size"], got["cluster_unhealthy"])
	}
}
