package relay

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/connlimit"
	"troutusher/internal/resp"
	"troutusher/policy"
)

// serveClients runs the client side alone; put stands for the loop.
func serveClients(
	t *testing.T,
	put func(*request),
	change ...func(*connlimit.Limits),
) (*clientServer, string, chan bool) {
	t.Helper()
	cfg := testConfigParsed(t)
	opt := serverOptions(cfg)
	opt.Logger = quietLog()
	for _, f := range change {
		f(&opt.Limits)
	}
	said := make(chan bool, 16)
	c, err := newClientServer(cfg, opt, put, func(_ *request, ok bool) { said <- ok }, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- c.server.Run() }()
	t.Cleanup(func() {
		c.server.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return c, c.server.Addr().String(), said
}

// inspectLimiter is a figure of the account of places.
func (c *clientServer) inspectLimiter(f func(*connlimit.Limiter) int) (n int) {
	c.server.Inspect(func(b *connlimit.Limiter) { n = f(b) })
	return n
}

func connsBetweenRequests(b *connlimit.Limiter) int {
	return b.Count(
		connlimit.StateReadingCommand,
	) + b.Count(
		connlimit.StateAwaitingReply,
	) + b.Count(
		connlimit.StateReplyingInvalid,
	)
}

func acceptRequest(q *request) { q.answer(replyOK) }

// Guards against what no client should send: nothing is taken, the fault is
// named, and a connection that is still in step goes on.
func TestInvalidInput(t *testing.T) {
	long := strings.Repeat("x", resp.MaxBodyBytes+1)
	var answers []string
	for name, x := range map[string]struct {
		text string
		ends bool
	}{
		"inline":           {"PING\r\n", true},
		"no number":        {"*x\r\n", true},
		"no arguments":     {"*0\r\n", true},
		"negative":         {"*-1\r\n", true},
		"many arguments":   {"*999999999\r\n", true},
		"huge argument":    {"*1\r\n$999999999\r\n", true},
		"negative length":  {"*1\r\n$-5\r\n", true},
		"long number":      {"*" + strings.Repeat("1", 99) + "\r\n", true},
		"no end":           {"*1\r\n$4\r\nPINGxx", true},
		"not a bulk":       {"*1\r\n:4\r\n", true},
		"unknown command":  {"*1\r\n$3\r\nGET\r\n", false},
		"long body":        {encodePut("m", putFields("plain", 8000, 1), []byte(long)), false},
		"few arguments":    {"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n", false},
		"unknown class":    {encodePut("m", "c=other,t=acme,d=1,dest=1", nil), false},
		"no class":         {encodePut("m", "t=acme,d=1,dest=1", nil), false},
		"unknown tenant":   {encodePut("m", "c=plain,t=other,d=1,dest=1", nil), false},
		"no time":          {encodePut("m", "c=plain,t=acme,dest=1", nil), false},
		"bad time":         {encodePut("m", "c=plain,t=acme,d=NaN,dest=1", nil), false},
		"time in hex":      {encodePut("m", "c=plain,t=acme,d=0x10,dest=1", nil), false},
		"exponent":         {encodePut("m", "c=plain,t=acme,d=1e3,dest=1", nil), false},
		"signed time":      {encodePut("m", "c=plain,t=acme,d=+10,dest=1", nil), false},
		"two points":       {encodePut("m", "c=plain,t=acme,d=1.2.3,dest=1", nil), false},
		"absurd time":      {encodePut("m", "c=plain,t=acme,d=900000000,dest=1", nil), false},
		"signed dest":      {encodePut("m", "c=plain,t=acme,d=1,dest=+1", nil), false},
		"huge dest":        {encodePut("m", "c=plain,t=acme,d=1,dest=99999999999", nil), false},
		"negative time":    {encodePut("m", "c=plain,t=acme,d=-1,dest=1", nil), false},
		"no destination":   {encodePut("m", "c=plain,t=acme,d=1", nil), false},
		"bad destination":  {encodePut("m", "c=plain,t=acme,d=1,dest=-3", nil), false},
		"no key":           {encodePut("m", "c=keyed,t=acme,d=1,dest=1", nil), false},
		"key in two lines": {encodePut("m", "c=keyed,t=acme,d=1,dest=1,k=a\r\nX: b", nil), false},
		"id in two lines":  {encodePut("a\r\nX: b", putFields("plain", 1, 1), nil), false},
		"no id":            {encodePut("", putFields("plain", 1, 1), nil), false},
		"field alone":      {encodePut("m", "c", nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr, _ := serveClients(t, func(q *request) { t.Error("taken"); acceptRequest(q) })
			cl := dialClient(t, addr)
			cl.send(x.text)
			s := cl.readLine()
			if !strings.HasPrefix(s, "-ERR ") {
				t.Fatalf("answer %q", s)
			}
			answers = append(answers, name+": "+s+"\n")
			if x.ends {
				if _, err := cl.reader.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("still open: %v", err)
				}
				return
			}
			cl.send("*2\r\n$4\r\nping\r\n$2\r\nhi\r\n")
			if s := cl.readLine() + cl.readLine(); s != "$2hi" {
				t.Errorf("out of step: %q", s)
			}
		})
	}
	slices.Sort(answers)
	compareWithFixture(t, "faults.txt", strings.Join(answers, ""))
}

func TestParsePut(t *testing.T) {
	now := time.UnixMicro(1e15)
	q, err := parsePut(testConfigParsed(t), [][]byte{
		[]byte("MSG.PUT"), nil, []byte("id1"),
		[]byte("c=keyed,t=acme,d=1500.5,k=k1,dest=12,r=1,again=1,new=x"), []byte("b"),
	}, now)
	if err != nil {
		t.Fatal(err)
	}
	if q.Class != 1 || q.Tenant != 0 || q.Record.Dest != 12 || q.Record.Key != "k1" || q.Record.ID != "id1" ||
		q.Record.Deadline != 1e15+1500500 || string(q.Record.Body) != "b" {
		t.Errorf("got %+v, %+v", q, q.Record)
	}
}

// Guards a client's give-up: one that leaves before its reply does not know
// that its message was accepted, and may submit it elsewhere.
func TestClientGoneBeforeAnswer(t *testing.T) {
	got := make(chan *request, 1)
	_, addr, said := serveClients(t, func(q *request) { got <- q })
	cl := dialClient(t, addr)
	cl.send(encodePut("m", putFields("plain", 8000, 1), nil))
	q := <-got
	if err := cl.Close(); err != nil {
		t.Fatal(err)
	}
	if <-said {
		t.Error("taken for delivered")
	}
	q.answer(replyOK) // comes too late and blocks nobody
}

// A client that sends ahead gets its answers in turn.
func TestPipelining(t *testing.T) {
	first := make(chan *request, 1)
	_, addr, said := serveClients(t, func(q *request) {
		if q.Record.ID == "a" {
			first <- q
			return
		}
		q.answer(busyReply(7))
	})
	cl := dialClient(t, addr)
	cl.send(
		encodePut("a", putFields("plain", 8000, 1), nil) + encodePut("b", putFields("plain", 8000, 1), nil) + pingText,
	)
	(<-first).answer(replyOK)
	if s := cl.readLine() + cl.readLine() + cl.readLine(); s != "+OK-BUSY 7+PONG" {
		t.Errorf("answers %q", s)
	}
	for range 2 {
		if !<-said {
			t.Error("not taken for delivered")
		}
	}
}

// Guards against losing a request to a close: a connection is closed only
// between requests, one with a request under way after its answer.
func TestCloseBetweenRequests(t *testing.T) {
	got := make(chan *request, 1)
	c, addr, _ := serveClients(t, func(q *request) { got <- q })
	idle, busyOne := dialClient(t, addr), dialClient(t, addr)
	idle.send(pingText)
	idle.readLine()
	busyOne.send(encodePut("m", putFields("plain", 8000, 1), nil))
	q := <-got
	c.server.CloseIdleConns()
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle: %v", err)
	}
	q.answer(replyOK)
	if s := busyOne.readLine(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
	if _, err := busyOne.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after its answer: %v", err)
	}
}

// Guards the limit on descriptors: past it the connection that was idle for
// longest makes room, and the new one is served.
func TestConnectionsBounded(t *testing.T) {
	c, addr, _ := serveClients(t, acceptRequest, func(l *connlimit.Limits) { l.MaxConns = 2 })
	var all []*testClient
	for i := range 3 {
		cl := dialClient(t, addr)
		cl.mustPut("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil)
		// It is idle once its answer is booked, a moment after that was read.
		waitFor(t, "the request's end", func() bool { return c.inspectLimiter(connsBetweenRequests) == 0 })
		all = append(all, cl)
	}
	if _, err := all[0].reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the oldest: %v", err)
	}
	if s := all[1].put("x", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Error(s)
	}
}

// Guards the places of clients against those that begin a command and never
// end it, or say nothing at all: they hear of it, or are closed. One that waits
// for its answer is left alone.
func TestPartialCommand(t *testing.T) {
	got := make(chan *request, 1)
	c, addr, _ := serveClients(t, func(q *request) { got <- q }, func(l *connlimit.Limits) {
		l.FirstCommandTimeout, l.CommandTimeout, l.IdleTimeout = 300e3, 300e3, 400e3
	})
	waits, half, silent := dialClient(t, addr), dialClient(t, addr), dialClient(t, addr)
	later, quiet := dialClient(t, addr), dialClient(t, addr)
	waits.send(encodePut("m", putFields("plain", 8000, 1), nil))
	q := <-got
	half.send("*5\r\n$7\r\nMSG")
	for _, cl := range []*testClient{later, quiet} {
		cl.send(pingText)
		if s := cl.readLine(); s != "+PONG" {
			t.Fatal(s)
		}
	}
	later.send("*5\r\n")
	for name, cl := range map[string]*testClient{"first": half, "later": later} {
		if s := cl.readLine(); !strings.HasPrefix(s, "-ERR ") {
			t.Errorf("half a command, %s: %q", name, s)
		}
	}
	for name, cl := range map[string]*testClient{"half": half, "later": later, "silent": silent, "idle": quiet} {
		if _, err := cl.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s is still open: %v", name, err)
		}
	}
	q.answer(replyOK) // later than the patience with the others
	if s := waits.readLine(); s != "+OK" {
		t.Errorf("answer %q", s)
	}
	waitFor(t, "places", func() bool { return c.inspectLimiter((*connlimit.Limiter).InUse) <= 1 })
}

// Guards the places of those that have sent a command against hundreds that
// only connect: these make room for each other, and where nobody can, the new
// one waits a while and is then closed.
func TestSilentConnectionFlood(t *testing.T) {
	hold := make(chan *request, 8)
	c, addr, _ := serveClients(
		t,
		func(q *request) { hold <- q },
		func(l *connlimit.Limits) { l.MaxConns, l.MaxUnvalidated, l.FirstCommandTimeout = 8, 4, 300e3 },
	)
	usual := dialClient(t, addr)
	usual.send(pingText)
	usual.readLine()
	for range 200 {
		dialClient(t, addr)
		if n := c.inspectLimiter((*connlimit.Limiter).InUse); n > 8 {
			t.Errorf("%d connections, 8 allowed", n)
		}
	}
	usual.send(pingText)
	if s := usual.readLine(); s != "+PONG" {
		t.Fatalf("the usual client: %q", s)
	}
	waitFor(t, "the crowd's end", func() bool { return c.inspectLimiter((*connlimit.Limiter).InUse) <= 1 })
	for i := range 8 { // the last takes the place of the usual one, where that is still there
		cl := dialClient(t, addr)
		cl.send(encodePut("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil))
		q := <-hold
		defer q.answer(replyOK)
	}
	if n := c.inspectLimiter((*connlimit.Limiter).InUse); n != 8 {
		t.Errorf("%d connections", n)
	}
	over := dialClient(t, addr)
	if _, err := over.reader.ReadByte(); err == nil {
		t.Error("one too many is served")
	}
}

// Clients hold only so many connections for requests. When they sit on all of
// them, each asked once and idle, no further message comes: that lost a third
// of the messages of a day. One that is in use or waits for its answer stays.
func TestSingleUseConnectionsAreEvicted(t *testing.T) {
	hold := make(chan *request, 1)
	c, addr, _ := serveClients(t, func(q *request) {
		if q.Record.ID == "held" {
			hold <- q
			return
		}
		acceptRequest(q)
	}, func(l *connlimit.Limits) {
		l.SingleUseEvictionThreshold, l.IdleTimeout, l.FirstCommandTimeout = 4, 3600e6, 3600e6
	}) // no connection is closed for being idle
	out := 0 // requests that are held
	ask := func(cl *testClient, id string) {
		t.Helper()
		if got := cl.put(id, putFields("plain", 8000, 1), nil); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
		waitFor(t, "the request's end", func() bool { return c.inspectLimiter(connsBetweenRequests) == out })
	}
	steady, silent, waiting := dialClient(t, addr), dialClient(t, addr), dialClient(t, addr)
	ask(steady, "a")
	ask(steady, "b")
	waiting.send(encodePut("held", putFields("plain", 8000, 1), nil))
	q := <-hold
	out = 1
	var once []*testClient
	for i := range 6 {
		cl := dialClient(t, addr)
		ask(cl, "once"+strconv.Itoa(i))
		once = append(once, cl)
	}
	// With steady and waiting that makes eight; the four oldest go, in turn.
	for i, cl := range once[:4] {
		if _, err := cl.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the one that asked once and is oldest but %d: %v", i, err)
		}
	}
	for i, cl := range once[4:] {
		ask(cl, "again"+strconv.Itoa(i))
	}
	q.answer(replyOK)
	if got := waiting.readLine(); got != "+OK" {
		t.Errorf("the one that waited for its answer: %q", got)
	}
	out = 0
	ask(steady, "c")
	silent.send(pingText)
	if silent.readLine() != "+PONG" {
		t.Error("one that has not asked was let go")
	}
}

// Guards the core: the same fault again and again ends the connection.
func TestRepeatedErrorsCloseConnection(t *testing.T) {
	_, addr, _ := serveClients(t, acceptRequest)
	cl := dialClient(t, addr)
	cl.send(strings.Repeat("*1\r\n$3\r\nGET\r\n", 300))
	n := 0
	for {
		s, err := cl.reader.ReadString('\n')
		if err != nil {
			break
		}
		if n++; !strings.HasPrefix(s, "-ERR ") {
			t.Errorf("answer %q", s)
		}
	}
	if n != 10 {
		t.Errorf("%d faults answered, want 10", n)
	}
}

func FuzzParsePut(f *testing.F) {
	f.Add([]byte(encodePut("m", "c=plain", []byte("b"))))
	f.Add([]byte(encodePut("m", putFields("keyed", 8000, 1), []byte("b"))))
	f.Add([]byte(encodePut("m", "c=plain,t=,d=1e400,dest=1,k=", nil)))
	cfg := &config.Config{
		Classes: map[string]int{"plain": 0, "keyed": 1},
		Tenants: map[string]int{},
		Policy: policy.Settings{
			Classes: []policy.Class{{Deadline: 8e6}, {Deadline: 8e6, Idempotency: policy.IdempotentByKey}},
		},
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r resp.Reader
		if _, whole, err := r.Feed(b); !whole || err != nil {
			return
		}
		q, err := parsePut(cfg, r.Args(), time.Now())
		if err != nil {
			return
		}
		badTime := q.timeLeft < 0 || q.timeLeft > 16*time.Second
		if !isToken(q.Record.ID) || badTime || q.Class == 1 && q.Record.Key == "" {
			t.Fatalf("taken: %+v", q.Record)
		}
	})
}

// testConfigParsed returns a configuration with the settings of the tests.
func testConfigParsed(t *testing.T) *config.Config {
	t.Helper()
	c, err := config.Parse(
		[]byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":`+
			testSettings+`}`),
		func(string) string { return "" },
	)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
