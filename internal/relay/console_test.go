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

// A drained relay says no to PING on every connection, serves what still comes
// on those that are open, lets them go, and serves again once the drain ends;
// any number of times.
func TestDrainAndUndrain(t *testing.T) {
	endpoint := newFakeEndpoint(t, respondStatus(http.StatusOK))
	d := newFakeDiscovery(t, endpoint.member("e1", 1))
	env := testConfig(t, d, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	startChild(t, env)
	console := env["ROUTER_CONSOLE"]
	if got := mustCall(t, console, "READY"); got != "YES serving\n" {
		t.Fatalf("READY: %q", got)
	}
	for round := range 3 {
		idle := dialClient(t, env["ROUTER_LISTEN"])
		if got := idle.put(fmt.Sprintf("before-%d", round), putFields("plain", 8000, 1), nil); got != "+OK" {
			t.Fatalf("before: %q", got)
		}
		half := dialClient(t, env["ROUTER_LISTEN"])
		text := encodePut(fmt.Sprintf("half-%d", round), putFields("plain", 8000, 1), nil)
		half.send(text[:30])
		if got := mustCall(t, console, "DRAIN"); got != "YES draining\n" {
			t.Fatalf("DRAIN: %q", got)
		}
		if _, err := idle.reader.ReadByte(); err != io.EOF {
			t.Errorf("an idle connection: %v, want its end", err)
		}
		c := dialClient(t, env["ROUTER_LISTEN"])
		c.send(pingText)
		if got := c.readLine(); got == "+PONG" {
			t.Errorf("PING while drained: %q", got)
		}
		if _, err := c.reader.ReadByte(); err != io.EOF {
			t.Errorf("a connection after its answer: %v, want its end", err)
		}
		half.send(text[30:])
		if got := half.readLine(); got != "+OK" {
			t.Errorf("a hand-in begun before the drain: %q", got)
		}
		if _, err := half.reader.ReadByte(); err != io.EOF {
			t.Errorf("its connection: %v, want its end", err)
		}
		late := dialClient(t, env["ROUTER_LISTEN"])
		if got := late.put(fmt.Sprintf("late-%d", round), putFields("plain", 8000, 1), nil); got != "+OK" {
			t.Errorf("a hand-in while drained: %q", got)
		}
		if got := mustCall(t, console, "UNDRAIN"); got != "YES serving\n" {
			t.Fatalf("UNDRAIN: %q", got)
		}
		again := dialClient(t, env["ROUTER_LISTEN"])
		for range 2 { // and the connection stays
			again.send(pingText)
			if got := again.readLine(); got != "+PONG" {
				t.Errorf("PING after the drain: %q", got)
			}
		}
	}
	waitFor(t, "nine deliveries", func() bool { return readStats(t, console)["answered.plain"] == 9 })
}

// Thousands of messages with every kind of end: the figures agree with what
// clients were answered, what the platform was notified of and what came to the endpoints,
// also while the traffic lasts.
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
					dest = 9 // no list names it
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
	sum := map[string]*outcomes{"plain": {}, "keyed": {}, "once": {}}
	last := readStats(t, console)
	for left := clients; left > 0; {
		select {
		case got := <-counts:
			left--
			for class, g := range got {
				s := sum[class]
				s.ok, s.busy, s.wrong = s.ok+g.ok, s.busy+g.busy, s.wrong+g.wrong
			}
		default:
			now := readStats(t, console)
			for name, v := range last { // counters never go back
				if name != "current" && !strings.HasPrefix(name, "cluster") && now[name] < v {
					t.Errorf("%s went from %d to %d", name, v, now[name])
				}
			}
			last = now
		}
	}
	waitFor(t, "all to end", func() bool { return readStats(t, console)["current"] == 0 })
	got := readStats(t, console)
	handedBack, givenUp := map[string]int{}, map[string]int{}
	waitFor(t, "the notices", func() bool {
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
		for class, s := range sum {
			ended += s.ok - int(got["answered."+class])
		}
		return n == ended
	})
	total := 0
	for class, s := range sum {
		total += s.ok + s.busy + s.wrong
		if want := s.ok - handedBack[class] - givenUp[class]; got["answered."+class] != int64(want) {
			t.Errorf("answered.%s: %d, want %d", class, got["answered."+class], want)
		}
		if want := s.busy + handedBack[class]; got["deferred."+class] != int64(want) {
			t.Errorf("deferred.%s: %d, want %d", class, got["deferred."+class], want)
		}
		if want := s.wrong + givenUp[class]; got["errored."+class] != int64(want) {
			t.Errorf("errored.%s: %d, want %d", class, got["errored."+class], want)
		}
		if s.ok == 0 || handedBack["plain"]+handedBack["keyed"] == 0 || givenUp["once"] == 0 {
			t.Errorf("%s: not every kind of end came up: %+v, %v, %v", class, s, handedBack, givenUp)
		}
	}
	if total != clients*each {
		t.Errorf("%d answers to %d messages", total, clients*each)
	}
	endpoint.mu.Lock()
	calls := len(endpoint.calls)
	endpoint.mu.Unlock()
	if got["sends"] != int64(calls) {
		t.Errorf("sends: %d, and %d calls came", got["sends"], calls)
	}
	if got["cluster_size"] != 2 || got["cluster_unhealthy"] < 1 {
		t.Errorf("cluster_size %d, cluster_unhealthy %d; want 2 with the draining one avoided",
			got["cluster_size"], got["cluster_unhealthy"])
	}
}
