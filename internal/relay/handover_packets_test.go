package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/front"
	"troutusher/internal/places"
	"troutusher/internal/takeover/link"
)

const (
	giverFixture = "handover/giver.txt" // a packet a line: kind, descriptors, body
	takerFixture = "handover/taker.txt"
)

// packet is one that went over a link, its descriptors owned by who has it.
type packet struct {
	kind byte
	fds  []int
	body []byte
}

func (p packet) String() string { return fmt.Sprintf("%c %d %s", p.kind, len(p.fds), p.body) }

// packetLines reads a fixture; descriptors are counted only.
func packetLines(t *testing.T, text string) (all []packet) {
	t.Helper()
	for line := range strings.Lines(text) {
		parts := strings.SplitN(strings.TrimSuffix(line, "\n"), " ", 3)
		n, err := strconv.Atoi(parts[1])
		if err != nil || len(parts) != 3 || len(parts[0]) != 1 {
			t.Fatalf("fixture: %q", line)
		}
		all = append(all, packet{parts[0][0], make([]int, n), []byte(parts[2])})
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
func (p packet) form(t *testing.T) string {
	return fmt.Sprintf("%c %d %s", p.kind, len(p.fds), keyPaths(t, p.body, 2))
}

// recordedScene is the hand-over that was recorded: a call that is out, a held
// message, a client between two commands and one in the midst of a command.
type recordedScene struct {
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

func newRecordedScene(t *testing.T) *recordedScene {
	t.Helper()
	s := &recordedScene{release: make(chan struct{})}
	s.slow = newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	})
	s.quick = newFakeEndpoint(t, nil)
	s.disc = newFakeDiscovery(t, s.slow.member("s-1", 1), s.quick.member("s-2", 2), drainingMember("s-0", 5))
	s.env = testConfig(t, s.disc, 3)
	s.old = firstOf(t, s.env)
	s.names = strings.NewReplacer(s.slow.addr(), "slow.addr", s.quick.addr(), "quick.addr", s.disc.addr(), "disc.addr")
	s.addrs = strings.NewReplacer("slow.addr", s.slow.addr(), "quick.addr", s.quick.addr(), "disc.addr", s.disc.addr())
	s.cl, s.half = dialClient(t, s.env["ROUTER_LISTEN"]), dialClient(t, s.env["ROUTER_LISTEN"])
	putOnce(t, s.cl, map[string]int{"out": 1})
	waitFor(t, "the call", func() bool { return s.slow.count("out") == 1 })
	io.WriteString(s.half, "*1\r\n$4\r\nPING\r\n")
	s.half.line()
	text := putText("half", fields("keyed", 20000, 2), []byte("two"))
	s.rest = text[len(text)-4:]
	io.WriteString(s.half, strings.TrimSuffix(text, s.rest))
	putOnce(t, s.cl, map[string]int{"held": 5}) // answered after the half command was read
	return s
}

// takeAll has the old process hand over to the test, and returns its packets.
func (s *recordedScene) takeAll(t *testing.T) (k *taker, all []packet) {
	t.Helper()
	k = newTaker(t, s.env["ROUTER_STATE"])
	by := time.Now().Add(10 * time.Second)
	if err := k.link.Send(pktTake, nil, by); err != nil {
		t.Fatal(err)
	}
	for {
		p, err := k.link.Receive(by)
		if err != nil {
			t.Fatal(err)
		}
		k.fds = append(k.fds, p.FDs...)
		all = append(all, packet{p.Kind, p.FDs, []byte(s.names.Replace(string(p.Body)))})
		if p.Kind == pktEnd {
			return k, all
		}
	}
}

var (
	monoText   = regexp.MustCompile(`"mono":-?\d+`)
	frozenText = regexp.MustCompile(`"frozen":\d+`)
)

// renew makes a recorded state one of this moment: its clocks go on from now.
func (s *recordedScene) renew(t *testing.T, state []byte) []byte {
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
	text = monoText.ReplaceAllString(text, fmt.Sprintf(`"mono":%d`, mono()-at.Core.Policy.Now))
	return []byte(frozenText.ReplaceAllString(text, fmt.Sprintf(`"frozen":%d`, mono())))
}

// halfAt is which of the clients is in the midst of a command.
func halfAt(t *testing.T, conns []byte) int {
	t.Helper()
	var all []front.ConnSnapshot
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
func TestRecordedHandOver(t *testing.T) {
	s := newRecordedScene(t)
	k, sent := s.takeAll(t)
	if os.Getenv(recordEnv) != "" {
		var text strings.Builder
		for _, p := range sent {
			fmt.Fprintln(&text, p)
		}
		sameAsRecorded(t, giverFixture, text.String())
	}
	was := packetLines(t, recorded(t, giverFixture))
	if len(was) != len(sent) {
		t.Fatalf("%d packets, %d are recorded", len(sent), len(was))
	}
	for i := range sent {
		if got, want := sent[i].form(t), was[i].form(t); got != want {
			t.Errorf("packet %d:\n got %s\nwant %s", i, got, want)
		}
		was[i].fds = sent[i].fds
		switch was[i].kind {
		case pktState:
			was[i].body = s.renew(t, was[i].body)
		case pktConns:
			if a, b := halfAt(t, was[i].body), halfAt(t, sent[i].body); a != b {
				was[i].fds[a], was[i].fds[b] = was[i].fds[b], was[i].fds[a]
			}
		case pktLock:
			k.lock.adopt(os.NewFile(uintptr(sent[i].fds[0]), lockName))
			k.fds = k.fds[:len(k.fds)-1]
		}
	}
	by := time.Now().Add(20 * time.Second)
	if err := k.link.Send(pktMine, nil, by); err != nil {
		t.Fatal(err)
	}

	ln, err := link.Listen(s.env["ROUTER_STATE"])
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	fresh := another(t, s.env)
	l, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var heard strings.Builder
	hear := func() {
		p, err := l.Receive(by)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&heard, "%c %d %s\n", p.Kind, len(p.FDs), regexp.MustCompile(`"pid":\d+`).ReplaceAll(p.Body, []byte(`"pid":1`)))
	}
	hear()
	if err := l.Send(pktHello, []byte(`{"form":2,"pid":1}`), by); err != nil {
		t.Fatal(err)
	}
	hear()
	for _, p := range was {
		if err := l.Send(p.kind, p.body, by, p.fds...); err != nil {
			t.Fatal(err)
		}
	}
	hear()
	for _, fd := range k.fds {
		syscall.Close(fd)
	}
	k.fds = nil
	k.lock.close()
	hear()
	sameAsRecorded(t, takerFixture, heard.String())
	if err := k.link.Send(pktServing, nil, by); err != nil {
		t.Fatal(err)
	}
	if err := <-s.old.exited; err != nil {
		t.Errorf("the old process: %v", err)
	}
	s.goesOn(t, fresh)
}

// goesOn checks that a process has taken the scene over.
func (s *recordedScene) goesOn(t *testing.T, fresh *child) {
	t.Helper()
	waitFor(t, "yes", fresh.yes)
	if got := s.cl.put("after", fields("once", 8000, 2), nil); got != "+OK" {
		t.Errorf("on a kept connection: %s", got)
	}
	io.WriteString(s.half, s.rest)
	if got := s.half.line(); got != "+OK" {
		t.Errorf("half a command: %s", got)
	}
	close(s.release)
	line := change(7, s.quick.member("s-5", 5))
	waitFor(t, "what was held", func() bool { s.disc.sayToAll(line); return s.quick.count("held") == 1 })
	waitFor(t, "all to end", func() bool { return figures(t, fresh.console())["current"] == 0 })
	got := figures(t, fresh.console())
	if n := s.slow.count("out"); n != 1 || got["answered.once"] != 3 || got["errored.once"] != 0 {
		t.Errorf("the call that was out went out %d times; figures %v", n, got)
	}
}

// What is read from recorded packets and written again is the same to the byte.
func TestRecordedPacketsAreWrittenAsTheyWere(t *testing.T) {
	for _, p := range packetLines(t, recorded(t, giverFixture)+recorded(t, takerFixture)) {
		var v any
		switch p.kind {
		case pktHello:
			v = &linkHello{}
		case pktState:
			v = &handed{}
		case pktConns:
			v = &[]front.ConnSnapshot{}
		case pktCalls:
			v = &[]string{}
		default:
			if len(p.body) > 0 {
				t.Errorf("%c has a body: %s", p.kind, p.body)
			}
			continue
		}
		if err := json.Unmarshal(p.body, v); err != nil {
			t.Errorf("%c: %v", p.kind, err)
		}
		if got, err := json.Marshal(v); err != nil || string(got) != string(p.body) {
			t.Errorf("%c: %v\n got %s\nwant %s", p.kind, err, got, p.body)
		}
	}
}

// Fields that the recorded hand-over left empty, and the kinds of packet.
func TestFormOfPackets(t *testing.T) {
	for want, v := range map[string]any{
		`{"form":2,"pid":7}`: linkHello{Form: linkForm, PID: 7},
		`{"core":{"members":null,"named":null,"calls":null,"worth":null,"policy":null},"mono":-5,"frozen":6,"agent":"a:1","again":true}`: handed{
			Core: &core.HandoverState{}, Mono: -5, Frozen: 6, Agent: "a:1", Again: true},
		`{"core":null,"mono":0}`: handed{},
		`[{"ahead":"aGFsZg==","out":"b3V0","place":{"Known":true,"Spoke":true,"Asked":3,"Left":-4}},{"place":{"Known":false,"Spoke":false,"Asked":0,"Left":0}}]`: []front.ConnSnapshot{
			{FD: 9, Unprocessed: []byte("half"), Unwritten: []byte("out"), Slot: places.Snapshot{Known: true, Spoke: true, Asked: 3, Left: -4}}, {}},
	} {
		if got, err := json.Marshal(v); err != nil || string(got) != want {
			t.Errorf("%v\n got %s\nwant %s", err, got, want)
		}
	}
	kinds := string([]byte{pktHello, pktTake, pktRefuse, pktPart, pktState, pktListen, pktConns, pktLock, pktCalls, pktEnd, pktMine, pktServing})
	if kinds != "HTNpSLCFKEMR" {
		t.Errorf("kinds of packet: %s", kinds)
	}
	if lockName != "relay.lock" || link.Name != "relay.sock" || link.BodyMost != 32<<10 || link.FDsMost != 64 {
		t.Errorf("lock %s, link %s, %d bytes and %d descriptors a packet", lockName, link.Name, link.BodyMost, link.FDsMost)
	}
}
