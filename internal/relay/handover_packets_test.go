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
	outgoingFixture = "../../handover/transfer/testdata/predecessor.txt" // a packet a line: kind, descriptors, body
	incomingFixture = "../../handover/transfer/testdata/successor.txt"
)

// recordedPacket is one that went over a link, its descriptors owned by who has it.
type recordedPacket struct {
	kind byte
	fds  []int
	body []byte
}

func (p recordedPacket) String() string { return fmt.Sprintf("%c %d %s", p.kind, len(p.fds), p.body) }

// packetLines reads a fixture; descriptors are counted only.
func packetLines(t *testing.T, text string) (all []recordedPacket) {
	t.Helper()
	for line := range strings.Lines(text) {
		parts := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", 3)
		n, err := strconv.Atoi(parts[1])
		if err != nil || len(parts) != 3 || len(parts[0]) != 1 {
			t.Fatalf("fixture: %q", line)
		}
		all = append(all, recordedPacket{parts[0][0], make([]int, n), []byte(parts[2])})
	}
	return all
}

// keyPaths are the keys of a JSON text in their order, down to a depth.
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
			t.Fatalf("%s: %v", text, err)
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

// form is what of a packet is the same in every hand-over.
func (p recordedPacket) form(t *testing.T) string {
	return fmt.Sprintf("%c %d %s", p.kind, len(p.fds), keyPaths(t, p.body, 2))
}

// handoverScenario is the hand-over that was recorded: a call that is out, a held
// message, a client between two commands and one in the midst of a command.
type handoverScenario struct {
	slow, quick *fakeEndpoint
	disc        *fakeDiscovery
	env         map[string]string
	old         *child
	cl, half    *testClient
	rest        string // of the half command
	release     chan struct{}
	names       *strings.Replacer // addresses to their names in the fixture
	addrs       *strings.Replacer // and back
}

func newHandoverScenario(t *testing.T) *handoverScenario {
	t.Helper()
	s := &handoverScenario{release: make(chan struct{})}
	s.slow = newFakeEndpoint(t, blockUntil(s.release))
	s.quick = newFakeEndpoint(t, nil)
	s.disc = newFakeDiscovery(t, s.slow.member("s-1", 1), s.quick.member("s-2", 2), unreachableMember("s-0", 5))
	s.env = testConfig(t, s.disc, 3)
	s.old = startAndWait(t, s.env)
	s.names = strings.NewReplacer(s.slow.addr(), "slow.addr", s.quick.addr(), "quick.addr", s.disc.Addr(), "disc.addr")
	s.addrs = strings.NewReplacer("slow.addr", s.slow.addr(), "quick.addr", s.quick.addr(), "disc.addr", s.disc.Addr())
	s.cl, s.half = dialClient(t, s.env["ROUTER_LISTEN"]), dialClient(t, s.env["ROUTER_LISTEN"])
	mustSubmitOnce(t, s.cl, map[string]int{"out": 1})
	waitFor(t, "the call", func() bool { return s.slow.count("out") == 1 })
	s.half.send(pingText)
	s.half.readLine()
	text := encodePut("half", putFields("keyed", 20000, 2), []byte("two"))
	s.rest = text[len(text)-4:]
	s.half.send(strings.TrimSuffix(text, s.rest))
	mustSubmitOnce(t, s.cl, map[string]int{"held": 5}) // answered after the half command was read
	return s
}

// receiveAll has the old process hand over to the test, and returns its packets.
func (s *handoverScenario) receiveAll(t *testing.T) (k *testSuccessor, all []recordedPacket) {
	t.Helper()
	k = newTestSuccessor(t, s.env["ROUTER_STATE"])
	by := time.Now().Add(10 * time.Second)
	if err := k.conn.Send(transfer.PacketRequest, nil, by); err != nil {
		t.Fatal(err)
	}
	for {
		p, err := k.conn.Receive(by)
		if err != nil {
			t.Fatal(err)
		}
		k.fds = append(k.fds, p.FDs...)
		all = append(all, recordedPacket{p.Kind, p.FDs, []byte(s.names.Replace(string(p.Body)))})
		if p.Kind == transfer.PacketEnd {
			return k, all
		}
	}
}

var (
	monoText   = regexp.MustCompile(`"mono":-?\d+`)
	pidText    = regexp.MustCompile(`"pid":\d+`)
	frozenText = regexp.MustCompile(`"frozen":\d+`)
)

// rebaseClocks makes a recorded state one of this moment: its clocks go on from now.
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

// partialCommandIndex is which of the clients is in the midst of a command.
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
	t.Fatalf("no half command in %s", conns)
	return 0
}

// Guards an upgrade between this program and one of another age: a serving process
// sends packets of the recorded form, and a starting one takes the recorded packets
// over, byte for byte but for clocks and addresses, with real descriptors, and
// answers in the recorded words.
func TestRecordedHandover(t *testing.T) {
	s := newHandoverScenario(t)
	k, sent := s.receiveAll(t)
	if os.Getenv(updateFixturesEnv) != "" {
		var text strings.Builder
		for _, p := range sent {
			fmt.Fprintln(&text, p)
		}
		compareWithFixture(t, outgoingFixture, text.String())
	}
	was := packetLines(t, readFixture(t, outgoingFixture))
	if len(was) != len(sent) {
		t.Fatalf("%d packets, %d are recorded", len(sent), len(was))
	}
	for i := range sent {
		if got, want := sent[i].form(t), was[i].form(t); got != want {
			t.Errorf("packet %d:\n got %s\nwant %s", i, got, want)
		}
		was[i].fds = sent[i].fds
		switch was[i].kind {
		case transfer.PacketState:
			was[i].body = s.rebaseClocks(t, was[i].body)
		case transfer.PacketClients:
			if a, b := partialCommandIndex(t, was[i].body), partialCommandIndex(t, sent[i].body); a != b {
				was[i].fds[a], was[i].fds[b] = was[i].fds[b], was[i].fds[a]
			}
		case transfer.PacketLock:
			k.lock.Adopt(os.NewFile(uintptr(sent[i].fds[0]), statelock.FileName))
			k.fds = k.fds[:len(k.fds)-1]
		}
	}
	by := time.Now().Add(20 * time.Second)
	if err := k.conn.Send(transfer.PacketClaim, nil, by); err != nil {
		t.Fatal(err)
	}

	ln, err := link.Listen(s.env["ROUTER_STATE"])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	fresh := startPeer(t, s.env)
	l, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var received strings.Builder
	receive := func() {
		p, err := l.Receive(by)
		if err != nil {
			t.Fatal(err)
		}
		body := pidText.ReplaceAll(p.Body, []byte(`"pid":1`))
		fmt.Fprintf(&received, "%c %d %s\n", p.Kind, len(p.FDs), body)
	}
	receive()
	if err := l.Send(transfer.PacketHello, []byte(`{"form":2,"pid":1}`), by); err != nil {
		t.Fatal(err)
	}
	receive()
	for _, p := range was {
		if err := l.Send(p.kind, p.body, by, p.fds...); err != nil {
			t.Fatal(err)
		}
	}
	receive()
	for _, fd := range k.fds {
		if err := syscall.Close(fd); err != nil {
			t.Error(err)
		}
	}
	k.fds = nil
	k.lock.Close()
	receive()
	compareWithFixture(t, incomingFixture, received.String())
	if err := k.conn.Send(transfer.PacketServing, nil, by); err != nil {
		t.Fatal(err)
	}
	if err := <-s.old.exited; err != nil {
		t.Errorf("the old process: %v", err)
	}
	s.checkTakenOver(t, fresh)
}

// checkTakenOver checks that a process has taken the scene over.
func (s *handoverScenario) checkTakenOver(t *testing.T, fresh *child) {
	t.Helper()
	waitFor(t, "yes", fresh.isReady)
	if got := s.cl.put("after", putFields("once", 8000, 2), nil); got != "+OK" {
		t.Errorf("on an open connection: %s", got)
	}
	s.half.send(s.rest)
	if got := s.half.readLine(); got != "+OK" {
		t.Errorf("half a command: %s", got)
	}
	close(s.release)
	line := discoverytest.ChangeText(7, s.quick.member("s-5", 5))
	waitFor(t, "what was held", func() bool { s.disc.SendLineToAll(line); return s.quick.count("held") == 1 })
	waitFor(t, "all to end", func() bool { return readStats(t, fresh.console())["current"] == 0 })
	got := readStats(t, fresh.console())
	if n := s.slow.count("out"); n != 1 || got["answered.once"] != 3 || got["errored.once"] != 0 {
		t.Errorf("the call that was out went out %d times; figures %v", n, got)
	}
}
