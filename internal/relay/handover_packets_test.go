package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/discovery/discoverytest"
	"troutusher/internal/handover/link"
	"troutusher/internal/handover/statelock"
	"troutusher/internal/handover/transfer"
	"troutusher/internal/respserver"
)

const (
	// A fixture has one packet per line: kind, number of descriptors, body.
	outgoingFixture = "../../handover/transfer/testdata/predecessor.txt"
	incomingFixture = "../../handover/transfer/testdata/successor.txt"
)

// recordedPacket is a packet that was sent over a link. Whoever holds the packet owns its
// descriptors.
type recordedPacket struct {
	kind byte
	fds  []int
	body []byte
}

func (p recordedPacket) String() string { return fmt.Sprintf("%c %d %s", p.kind, len(p.fds), p.body) }

// packetLines parses a fixture. The packets get as many descriptors as were recorded, all of them
// 0, since a fixture has only their number.
func packetLines(t *testing.T, text string) (all []recordedPacket) {
	t.Helper()
	for line := range strings.Lines(text) {
		parts := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", 3)
		n, err := strconv.Atoi(parts[1])
		if err != nil || len(parts) != 3 || len(parts[0]) != 1 {
			t.Fatalf("fixture line %q, want a kind of one letter, a number of descriptors and a body", line)
		}
		all = append(all, recordedPacket{parts[0][0], make([]int, n), []byte(parts[2])})
	}
	return all
}

// keyPaths returns the paths of all keys of a JSON text, in order of first appearance and down to a
// depth.
func keyPaths(t *testing.T, text []byte, depth int) string {
	t.Helper()
	if len(text) == 0 {
		return ""
	}
	var paths []string
	seen := map[string]bool{}
	dec := json.NewDecoder(bytes.NewReader(text))
	var value func(path string, level int)
	next := func() json.Token {
		tok, err := dec.Token()
		if err != nil {
			t.Fatalf("decoding JSON %s: %v", text, err)
		}
		return tok
	}
	value = func(path string, level int) {
		tok := next()
		if level <= depth && !seen[path] {
			seen[path] = true
			paths = append(paths, path)
		}
		switch tok {
		case json.Delim('{'):
			for dec.More() {
				value(path+"."+next().(string), level+1)
			}
			next()
		case json.Delim('['):
			for dec.More() {
				value(path+"[]", level)
			}
			next()
		}
	}
	value("", 0)
	return strings.Join(paths, " ")
}

// form returns the part of a packet that is the same in every hand-over: its kind, its number of
// descriptors and the keys of its body.
func (p recordedPacket) form(t *testing.T) string {
	return fmt.Sprintf("%c %d %s", p.kind, len(p.fds), keyPaths(t, p.body, 2))
}

// handoverScenario is the situation in which the fixtures were recorded: a call in flight, a
// pending message, a client between two commands and a client that has sent part of a command.
type handoverScenario struct {
	slow, quick     *fakeEndpoint
	discovery       *fakeDiscovery
	env             map[string]string
	predecessor     *child
	client, partial *testClient
	rest            string // of the partial command
	release         chan struct{}
	names           *strings.Replacer // replaces addresses by their names in the fixture
	addrs           *strings.Replacer // replaces those names by addresses
}

func newHandoverScenario(t *testing.T) *handoverScenario {
	t.Helper()
	s := &handoverScenario{release: make(chan struct{})}
	s.slow = newFakeEndpoint(t, blockUntil(s.release))
	s.quick = newFakeEndpoint(t, nil)
	s.discovery = newFakeDiscovery(t, s.slow.member("s-1", 1), s.quick.member("s-2", 2), unreachableMember("s-0", 5))
	s.env = testConfig(t, s.discovery, 3)
	s.predecessor = startAndWait(t, s.env)
	s.names = strings.NewReplacer(
		s.slow.addr(), "slow.addr", s.quick.addr(), "quick.addr", s.discovery.Addr(), "disc.addr",
	)
	s.addrs = strings.NewReplacer(
		"slow.addr", s.slow.addr(), "quick.addr", s.quick.addr(), "disc.addr", s.discovery.Addr(),
	)
	s.client, s.partial = dialClient(t, s.env["ROUTER_LISTEN"]), dialClient(t, s.env["ROUTER_LISTEN"])
	mustSubmitOnce(t, s.client, map[string]int{"out": 1})
	waitFor(t, "the call of message out", func() bool { return s.slow.count("out") == 1 })
	s.partial.send(pingText)
	s.partial.readLine()
	text := encodePut("half", putFields("keyed", 20000, 2), []byte("two"))
	s.rest = text[len(text)-4:]
	s.partial.send(strings.TrimSuffix(text, s.rest))
	mustSubmitOnce(t, s.client, map[string]int{"held": 5}) // its reply shows that the partial command was read before
	return s
}

// receiveAll requests a hand-over from the predecessor and returns all packets that it sends, with
// addresses replaced by their names in the fixture.
func (s *handoverScenario) receiveAll(t *testing.T) (fake *testSuccessor, all []recordedPacket) {
	t.Helper()
	fake = newTestSuccessor(t, s.env["ROUTER_STATE"])
	deadline := time.Now().Add(10 * time.Second)
	if err := fake.conn.Send(transfer.PacketRequest, nil, deadline); err != nil {
		t.Fatal(err)
	}
	for {
		p, err := fake.conn.Receive(deadline)
		if err != nil {
			t.Fatal(err)
		}
		fake.fds = append(fake.fds, p.FDs...)
		all = append(all, recordedPacket{p.Kind, p.FDs, []byte(s.names.Replace(string(p.Body)))})
		if p.Kind == transfer.PacketEnd {
			return fake, all
		}
	}
}

var (
	monoText   = regexp.MustCompile(`"mono":-?\d+`)
	pidText    = regexp.MustCompile(`"pid":\d+`)
	frozenText = regexp.MustCompile(`"frozen":\d+`)
)

// rebaseClocks shifts the clocks of a recorded state so that they continue from the current time,
// and replaces the names of addresses by those of this run.
func (s *handoverScenario) rebaseClocks(t *testing.T, state []byte) []byte {
	t.Helper()
	var at struct {
		Core struct {
			Policy struct {
				Now int64 `json:"now"`
			} `json:"policy"`
		} `json:"core"`
	}
	if err := json.Unmarshal(state, &at); err != nil {
		t.Fatal(err)
	}
	text := s.addrs.Replace(string(state))
	text = monoText.ReplaceAllString(text, fmt.Sprintf(`"mono":%d`, monotonicMicros()-at.Core.Policy.Now))
	return []byte(frozenText.ReplaceAllString(text, fmt.Sprintf(`"frozen":%d`, monotonicMicros())))
}

// partialCommandIndex returns the index of the client that has sent part of a command.
func partialCommandIndex(t *testing.T, conns []byte) int {
	t.Helper()
	var all []respserver.ConnSnapshot
	if err := json.Unmarshal(conns, &all); err != nil {
		t.Fatal(err)
	}
	for i := range all {
		if len(all[i].Unprocessed) > 0 {
			return i
		}
	}
	t.Fatalf("no connection with a partial command in %s", conns)
	return 0
}

// Guards upgrades between this program and an older or newer one: a predecessor must send packets
// of the recorded form, and a successor must accept the recorded packets (unchanged except for
// clocks and addresses, and with real descriptors) and send exactly the recorded packets itself.
func TestRecordedHandover(t *testing.T) {
	s := newHandoverScenario(t)
	fake, sent := s.receiveAll(t)
	if os.Getenv(updateFixturesEnv) != "" {
		var text strings.Builder
		for _, p := range sent {
			fmt.Fprintln(&text, p)
		}
		compareWithFixture(t, outgoingFixture, text.String())
	}
	recorded := packetLines(t, readFixture(t, outgoingFixture))
	if len(recorded) != len(sent) {
		t.Fatalf("the predecessor sent %d packets, want %d as recorded", len(sent), len(recorded))
	}
	for i := range sent {
		if got, want := sent[i].form(t), recorded[i].form(t); got != want {
			t.Errorf("form of packet %d:\n got %s\nwant %s", i, got, want)
		}
		recorded[i].fds = sent[i].fds
		switch recorded[i].kind {
		case transfer.PacketState:
			recorded[i].body = s.rebaseClocks(t, recorded[i].body)
		case transfer.PacketClients:
			if a, b := partialCommandIndex(t, recorded[i].body), partialCommandIndex(t, sent[i].body); a != b {
				recorded[i].fds[a], recorded[i].fds[b] = recorded[i].fds[b], recorded[i].fds[a]
			}
		case transfer.PacketLock:
			fake.lock.Adopt(os.NewFile(uintptr(sent[i].fds[0]), statelock.FileName))
			fake.fds = fake.fds[:len(fake.fds)-1]
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	if err := fake.conn.Send(transfer.PacketClaim, nil, deadline); err != nil {
		t.Fatal(err)
	}

	ln, err := link.Listen(s.env["ROUTER_STATE"])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	successor := startPeer(t, s.env)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var received strings.Builder
	receive := func() {
		p, err := conn.Receive(deadline)
		if err != nil {
			t.Fatal(err)
		}
		body := pidText.ReplaceAll(p.Body, []byte(`"pid":1`))
		fmt.Fprintf(&received, "%c %d %s\n", p.Kind, len(p.FDs), body)
	}
	receive()
	if err := conn.Send(transfer.PacketHello, []byte(`{"form":2,"pid":1}`), deadline); err != nil {
		t.Fatal(err)
	}
	receive()
	for _, p := range recorded {
		if err := conn.Send(p.kind, p.body, deadline, p.fds...); err != nil {
			t.Fatal(err)
		}
	}
	receive()
	for _, fd := range fake.fds {
		if err := syscall.Close(fd); err != nil {
			t.Error(err)
		}
	}
	fake.fds = nil
	fake.lock.Close()
	receive()
	compareWithFixture(t, incomingFixture, received.String())
	if err := fake.conn.Send(transfer.PacketServing, nil, deadline); err != nil {
		t.Fatal(err)
	}
	if err := <-s.predecessor.exited; err != nil {
		t.Errorf("exit of the predecessor: %v, want success", err)
	}
	s.checkTakenOver(t, successor)
}

// checkTakenOver checks that the successor serves the connections and messages that it took over.
func (s *handoverScenario) checkTakenOver(t *testing.T, successor *child) {
	t.Helper()
	waitFor(t, "the successor to be ready", successor.isReady)
	if got := s.client.put("after", putFields("once", 8000, 2), nil); got != "+OK" {
		t.Errorf("put(after) on a connection from before the hand-over = %s, want +OK", got)
	}
	s.partial.send(s.rest)
	if got := s.partial.readLine(); got != "+OK" {
		t.Errorf("reply to a command begun before the hand-over = %s, want +OK", got)
	}
	close(s.release)
	line := discoverytest.ChangeText(7, s.quick.member("s-5", 5))
	waitFor(t, "delivery of the pending message", func() bool {
		s.discovery.SendLineToAll(line)
		return s.quick.count("held") == 1
	})
	waitFor(t, "all messages to end", func() bool { return readStats(t, successor.console())["current"] == 0 })
	got := readStats(t, successor.console())
	if n := s.slow.count("out"); n != 1 || got["answered.once"] != 3 || got["errored.once"] != 0 {
		t.Errorf("attempts of message out = %d, want 1; STATS = %v, want answered.once 3, errored.once 0", n, got)
	}
}
