package relay

import (
	"errors"
	"fmt"
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

// serveClients runs a client server without a relay: put takes the place of the event loop. It
// returns the server, its address, and a channel that receives, for each request whose reply is
// done, whether the reply was written.
func serveClients(
	t *testing.T,
	put func(*request),
	change ...func(*connlimit.Limits),
) (*clientServer, string, chan bool) {
	t.Helper()
	cfg := testConfigParsed(t)
	options := serverOptions(cfg)
	options.Logger = quietLog()
	for _, f := range change {
		f(&options.Limits)
	}
	replyDone := make(chan bool, 16)
	c, err := newClientServer(cfg, options, put, func(_ *request, ok bool) { replyDone <- ok }, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() { result <- c.server.Run() }()
	t.Cleanup(func() {
		c.server.Close()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
	return c, c.server.Addr().String(), replyDone
}

// inspectLimiter returns a value that f reads from the connection limiter.
func (c *clientServer) inspectLimiter(f func(*connlimit.Limiter) int) (n int) {
	c.server.Inspect(func(limiter *connlimit.Limiter) { n = f(limiter) })
	return n
}

// connsInRequest returns the number of connections that are not idle: they are reading a command,
// waiting for a reply, or replying to an invalid command.
func connsInRequest(limiter *connlimit.Limiter) int {
	return limiter.Count(
		connlimit.StateReadingCommand,
	) + limiter.Count(
		connlimit.StateAwaitingReply,
	) + limiter.Count(
		connlimit.StateReplyingInvalid,
	)
}

func acceptRequest(q *request) { q.answer(replyOK) }

// Guards against invalid commands: no message may be accepted, the reply must name the fault, and
// the connection must stay usable where the end of the invalid command is known.
func TestInvalidInput(t *testing.T) {
	long := strings.Repeat("x", resp.MaxBodyBytes+1)
	var answers []string
	for name, test := range map[string]struct {
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
			_, addr, _ := serveClients(t, func(q *request) {
				t.Error("an invalid command was submitted to the event loop")
				acceptRequest(q)
			})
			client := dialClient(t, addr)
			client.send(test.text)
			s := client.readLine()
			if !strings.HasPrefix(s, "-ERR ") {
				t.Fatalf("reply to the invalid command = %q, want -ERR", s)
			}
			answers = append(answers, name+": "+s+"\n")
			if test.ends {
				if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("read after the reply: %v, want EOF", err)
				}
				return
			}
			client.send("*2\r\n$4\r\nping\r\n$2\r\nhi\r\n")
			if s := client.readLine() + client.readLine(); s != "$2hi" {
				t.Errorf("reply to PING after an invalid command = %q, want \"$2hi\"", s)
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
		t.Errorf("parsePut() = %+v with record %+v, want the values of the command", q, q.Record)
	}
}

// Guards against delivery of a message whose client left before its reply: such a client does not
// know that the message was accepted and may submit it to another relay.
func TestClientGoneBeforeAnswer(t *testing.T) {
	submitted := make(chan *request, 1)
	_, addr, replyDone := serveClients(t, func(q *request) { submitted <- q })
	client := dialClient(t, addr)
	client.send(encodePut("m", putFields("plain", 8000, 1), nil))
	q := <-submitted
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	if <-replyDone {
		t.Error("onReplyDone(ok) for a client that is gone: ok = true, want false")
	}
	q.answer(replyOK) // a late reply must not block
}

// Guards the order of replies to a client that sends several commands without waiting.
func TestPipelining(t *testing.T) {
	first := make(chan *request, 1)
	_, addr, replyDone := serveClients(t, func(q *request) {
		if q.Record.ID == "a" {
			first <- q
			return
		}
		q.answer(busyReply(7))
	})
	client := dialClient(t, addr)
	client.send(
		encodePut("a", putFields("plain", 8000, 1), nil) + encodePut("b", putFields("plain", 8000, 1), nil) + pingText,
	)
	(<-first).answer(replyOK)
	if s := client.readLine() + client.readLine() + client.readLine(); s != "+OK-BUSY 7+PONG" {
		t.Errorf("replies to three commands = %q, want %q", s, "+OK-BUSY 7+PONG")
	}
	for range 2 {
		if !<-replyDone {
			t.Error("onReplyDone(ok) after the reply was read: ok = false, want true")
		}
	}
}

// Guards against losing a request because its connection is closed: CloseIdleConns must close idle
// connections at once, but a connection with a request in progress only after the reply.
func TestCloseBetweenRequests(t *testing.T) {
	submitted := make(chan *request, 1)
	c, addr, _ := serveClients(t, func(q *request) { submitted <- q })
	idle, busy := dialClient(t, addr), dialClient(t, addr)
	idle.send(pingText)
	idle.readLine()
	busy.send(encodePut("m", putFields("plain", 8000, 1), nil))
	q := <-submitted
	c.server.CloseIdleConns()
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read on the idle connection: %v, want EOF", err)
	}
	q.answer(replyOK)
	if s := busy.readLine(); s != "+OK" {
		t.Errorf("reply to the request in progress = %q, want +OK", s)
	}
	if _, err := busy.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the reply: %v, want EOF", err)
	}
}

// Guards the limit on connections, which keeps the process within its file descriptors: at the limit
// the connection that has been idle for longest must be closed, and the new one must be served.
func TestConnectionsBounded(t *testing.T) {
	c, addr, _ := serveClients(t, acceptRequest, func(l *connlimit.Limits) { l.MaxConns = 2 })
	var clients []*testClient
	for i := range 3 {
		client := dialClient(t, addr)
		client.mustPut("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil)
		// The client may read the reply before the server counts the connection as idle.
		waitFor(t, "the requests to complete", func() bool { return c.inspectLimiter(connsInRequest) == 0 })
		clients = append(clients, client)
	}
	if _, err := clients[0].reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read on the connection idle for longest: %v, want EOF", err)
	}
	if s := clients[1].put("x", putFields("plain", 8000, 1), nil); s != "+OK" {
		t.Errorf("put(x) on the second connection = %s, want +OK", s)
	}
}

// Guards the connection slots against clients that begin a command and never end it, or send
// nothing at all: the former get an error reply, and both are closed. A client that waits for its
// reply must not be closed by these timeouts.
func TestPartialCommand(t *testing.T) {
	submitted := make(chan *request, 1)
	c, addr, _ := serveClients(t, func(q *request) { submitted <- q }, func(l *connlimit.Limits) {
		l.FirstCommandTimeout, l.CommandTimeout, l.IdleTimeout = 300e3, 300e3, 400e3
	})
	waiting, partial, silent := dialClient(t, addr), dialClient(t, addr), dialClient(t, addr)
	later, idle := dialClient(t, addr), dialClient(t, addr)
	waiting.send(encodePut("m", putFields("plain", 8000, 1), nil))
	q := <-submitted
	partial.send("*5\r\n$7\r\nMSG")
	for _, client := range []*testClient{later, idle} {
		client.send(pingText)
		if s := client.readLine(); s != "+PONG" {
			t.Fatalf("reply to PING = %s, want +PONG", s)
		}
	}
	later.send("*5\r\n")
	for name, client := range map[string]*testClient{"first command": partial, "later command": later} {
		if s := client.readLine(); !strings.HasPrefix(s, "-ERR ") {
			t.Errorf("reply to part of a command, %s = %q, want -ERR", name, s)
		}
	}
	for name, client := range map[string]*testClient{
		"part of first command": partial, "part of later command": later, "silent": silent, "idle": idle,
	} {
		if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("read on connection %q: %v, want EOF", name, err)
		}
	}
	q.answer(replyOK) // after the timeouts of the other connections
	if s := waiting.readLine(); s != "+OK" {
		t.Errorf("reply to the request = %q, want +OK", s)
	}
	waitFor(t, "the slots of closed connections to be free", func() bool {
		return c.inspectLimiter((*connlimit.Limiter).InUse) <= 1
	})
}

// Guards clients that have sent a command against hundreds of connections that send nothing: a new
// silent connection may only take the slot of another silent one. When no slot can be freed, a new
// connection waits for a while and is then closed.
func TestSilentConnectionFlood(t *testing.T) {
	submitted := make(chan *request, 8)
	c, addr, _ := serveClients(
		t,
		func(q *request) { submitted <- q },
		func(l *connlimit.Limits) { l.MaxConns, l.MaxUnvalidated, l.FirstCommandTimeout = 8, 4, 300e3 },
	)
	validated := dialClient(t, addr)
	validated.send(pingText)
	validated.readLine()
	for range 200 {
		dialClient(t, addr)
		if n := c.inspectLimiter((*connlimit.Limiter).InUse); n > 8 {
			t.Errorf("InUse() = %d connections, want 8 at most", n)
		}
	}
	validated.send(pingText)
	if s := validated.readLine(); s != "+PONG" {
		t.Fatalf("reply to PING of the validated client = %q, want +PONG", s)
	}
	waitFor(t, "the silent connections to be closed", func() bool {
		return c.inspectLimiter((*connlimit.Limiter).InUse) <= 1
	})
	for i := range 8 { // the last one takes the slot of the validated client, if that is still connected
		client := dialClient(t, addr)
		client.send(encodePut("m"+strconv.Itoa(i), putFields("plain", 8000, 1), nil))
		q := <-submitted
		defer q.answer(replyOK)
	}
	if n := c.inspectLimiter((*connlimit.Limiter).InUse); n != 8 {
		t.Errorf("InUse() = %d connections, want 8", n)
	}
	excess := dialClient(t, addr)
	if _, err := excess.reader.ReadByte(); err == nil {
		t.Error("read on a connection beyond the limit succeeded, want it closed")
	}
}

// Guards against idle connections that keep clients from submitting: clients open a limited number
// of connections. When each of these has made one request and is idle, no further message arrives;
// a third of the messages of a day was lost this way. The relay must close the oldest of such
// connections, but none that is used repeatedly or waits for a reply.
func TestSingleUseConnectionsAreEvicted(t *testing.T) {
	held := make(chan *request, 1)
	c, addr, _ := serveClients(t, func(q *request) {
		if q.Record.ID == "held" {
			held <- q
			return
		}
		acceptRequest(q)
	}, func(l *connlimit.Limits) {
		l.SingleUseEvictionThreshold, l.IdleTimeout, l.FirstCommandTimeout = 4, 3600e6, 3600e6
	}) // the timeouts are so long that no connection is closed by them
	unanswered := 0 // requests that wait for their reply
	submit := func(client *testClient, id string) {
		t.Helper()
		if got := client.put(id, putFields("plain", 8000, 1), nil); got != "+OK" {
			t.Fatalf("put(%s) = %q, want +OK", id, got)
		}
		waitFor(t, "the requests to complete", func() bool {
			return c.inspectLimiter(connsInRequest) == unanswered
		})
	}
	steady, silent, waiting := dialClient(t, addr), dialClient(t, addr), dialClient(t, addr)
	submit(steady, "a")
	submit(steady, "b")
	waiting.send(encodePut("held", putFields("plain", 8000, 1), nil))
	q := <-held
	unanswered = 1
	var singleUse []*testClient
	for i := range 6 {
		client := dialClient(t, addr)
		submit(client, "once"+strconv.Itoa(i))
		singleUse = append(singleUse, client)
	}
	// With steady and waiting there are eight connections; the four oldest are closed one by one.
	for i, client := range singleUse[:4] {
		if _, err := client.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("read on single-use connection %d, oldest first: %v, want EOF", i, err)
		}
	}
	for i, client := range singleUse[4:] {
		submit(client, "again"+strconv.Itoa(i))
	}
	q.answer(replyOK)
	if got := waiting.readLine(); got != "+OK" {
		t.Errorf("reply to the request that waited = %q, want +OK", got)
	}
	unanswered = 0
	submit(steady, "c")
	silent.send(pingText)
	if silent.readLine() != "+PONG" {
		t.Error("no +PONG on a connection that has made no request, want it open")
	}
}

// Guards the event loop against a client that sends invalid commands without end: its connection
// must be closed after a number of errors.
func TestRepeatedErrorsCloseConnection(t *testing.T) {
	_, addr, _ := serveClients(t, acceptRequest)
	client := dialClient(t, addr)
	client.send(strings.Repeat("*1\r\n$3\r\nGET\r\n", 300))
	replies := 0
	for {
		s, err := client.reader.ReadString('\n')
		if err != nil {
			break
		}
		if replies++; !strings.HasPrefix(s, "-ERR ") {
			t.Errorf("reply to an unknown command = %q, want -ERR", s)
		}
	}
	if replies != 10 {
		t.Errorf("got %d error replies before the connection was closed, want 10", replies)
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
		if _, complete, err := r.Feed(b); !complete || err != nil {
			return
		}
		q, err := parsePut(cfg, r.Args(), time.Now())
		if err != nil {
			return
		}
		invalidTime := q.timeLeft < 0 || q.timeLeft > 16*time.Second
		if !isToken(q.Record.ID) || invalidTime || q.Class == 1 && q.Record.Key == "" {
			t.Fatalf("parsePut() accepted the invalid record %+v", q.Record)
		}
	})
}

// testConfigParsed returns a configuration with testSettings.
func testConfigParsed(t *testing.T) *config.Config {
	t.Helper()
	cfg, err := config.Parse(
		[]byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":`+
			testSettings+`}`),
		func(string) string { return "" },
	)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards memory against requests with very many short fields: reading one must allocate little, and the
// request must not keep the text of its fields.
func TestManyFieldsNeedLittleMemory(t *testing.T) {
	cfg := testConfigParsed(t)
	var fields strings.Builder
	fields.WriteString(putFields("keyed", 8000, 1))
	for n := range 600 {
		fmt.Fprintf(&fields, ",f%d=", n)
	}
	args := [][]byte{[]byte("MSG.PUT"), []byte("0"), []byte("id"), []byte(fields.String()), []byte("body")}
	allocated := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			if _, err := parsePut(cfg, args, time.Now()); err != nil {
				b.Fatal(err)
			}
		}
	}).AllocedBytesPerOp()
	if most := int64(1024); allocated > most {
		t.Errorf("bytes allocated for a request with %d bytes of fields = %d, want at most %d",
			fields.Len(), allocated, most)
	}
}
