package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RESP2, as far as clients speak it here: commands are arrays of bulk strings.
// The reader is our own since it must bound sizes before memory is spent.

const (
	bodyMost   = 64 << 10
	argMost    = 4 << 10 // any argument but the body
	argsMost   = 16
	skipMost   = 1 << 20 // a body this long is still read past, so that the connection can go on
	lineMost   = 32
	writeWait  = 2 * time.Second
	wholeWait  = 5 * time.Second // from a command's first byte to its last
	lingerWait = 200 * time.Millisecond
)

// errTooLong is a command that was read past: the connection is still in step.
var errTooLong = errors.New("argument too long")

// readCommand reads one command. An error other than errTooLong means that
// the connection is of no more use.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	if n < 1 || n > argsMost {
		return nil, fmt.Errorf("command of %d arguments", n)
	}
	args := make([][]byte, 0, n)
	long := false
	for i := range n {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, midway(err)
		}
		most := argMost
		if i == n-1 {
			most = bodyMost
		}
		if size < 0 || size > skipMost {
			return nil, fmt.Errorf("argument of %d bytes", size)
		}
		if size > most {
			long = true
			if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
				return nil, midway(err)
			}
		} else {
			arg := make([]byte, size)
			if _, err := io.ReadFull(r, arg); err != nil {
				return nil, midway(err)
			}
			args = append(args, arg)
		}
		var end [2]byte
		if _, err := io.ReadFull(r, end[:]); err != nil {
			return nil, midway(err)
		}
		if end != [2]byte{'\r', '\n'} {
			return nil, errors.New("argument without its end")
		}
	}
	if long {
		return nil, errTooLong
	}
	return args, nil
}

// midway: an end inside a command is not a clean one.
func midway(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	var line [lineMost]byte
	for n := range line {
		b, err := r.ReadByte()
		if err != nil {
			if n > 0 {
				err = midway(err)
			}
			return 0, err
		}
		if line[n] = b; b != '\n' {
			continue
		}
		if n < 2 || line[n-1] != '\r' || line[0] != kind {
			return 0, fmt.Errorf("expected %q and a number", kind)
		}
		v, err := strconv.Atoi(string(line[1 : n-1]))
		if err != nil {
			return 0, fmt.Errorf("expected %q and a number", kind)
		}
		return v, nil
	}
	return 0, fmt.Errorf("expected %q and a number", kind)
}

// request is a message that a client hands in; answer is called once.
type request struct {
	rec    *record
	class  int
	tenant int
	left   time.Duration
	reply  chan string
}

func (q *request) answer(s string) { q.reply <- s }

const replyOK = "+OK\r\n"

func busy(ms int64) string {
	if ms <= 0 {
		return "-BUSY\r\n"
	}
	return "-BUSY " + strconv.FormatInt(ms, 10) + "\r\n"
}

func fault(err error) string {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error())
	return "-ERR " + text + "\r\n"
}

// parsePut reads a handed-in message; what is wrong is named, and nothing is
// taken.
func (c *Config) parsePut(args [][]byte, now time.Time) (*request, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("MSG.PUT takes 4 arguments, %d came", len(args)-1)
	}
	id := string(args[2])
	if !token(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	q := &request{rec: &record{Kind: recTaken, ID: id, body: args[4]}, reply: make(chan string, 1)}
	have := map[string]string{}
	for part := range strings.SplitSeq(string(args[3]), ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("field %q without a value", part)
		}
		have[name] = value
	}
	var ok bool
	if q.class, ok = c.classes[have["c"]]; !ok {
		return nil, fmt.Errorf("c: unknown class %q", have["c"])
	}
	q.rec.Class = have["c"]
	if q.tenant, ok = c.tenants[have["t"]]; !ok {
		if len(c.tenants) > 0 {
			return nil, fmt.Errorf("t: unknown tenant %q", have["t"])
		}
		q.tenant = -1
	}
	q.rec.Tenant = have["t"]
	ms, err := strconv.ParseFloat(have["d"], 64)
	if err != nil || !(ms >= 0 && ms <= 1e9) {
		return nil, fmt.Errorf("d: %q is no time in milliseconds", have["d"])
	}
	q.left = time.Duration(ms * float64(time.Millisecond))
	q.rec.Deadline = now.Add(q.left).UnixMicro()
	if q.rec.Dest, err = strconv.Atoi(have["dest"]); err != nil || q.rec.Dest < 0 || q.rec.Dest > 1<<16 {
		return nil, fmt.Errorf("dest: %q is no destination", have["dest"])
	}
	if q.rec.Key = have["k"]; q.rec.Key != "" && !token(q.rec.Key) {
		return nil, errors.New("k: too long or not plain")
	}
	if q.rec.Key == "" && c.keyed(q.class) {
		return nil, errors.New("k: missing in a keyed class")
	}
	return q, nil
}

// token reports whether s can stand in a header as it is.
func token(s string) bool {
	if s == "" || len(s) > 256 {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// clients serves those who hand messages in.
type clients struct {
	cfg  *Config
	log  *slog.Logger
	put  func(*request)            // hands it to the loop, which answers
	said func(q *request, ok bool) // the answer was written, or its client is gone
	most int
	// One that begins a command and does not end it must not hold its place
	// for ever: it is not idle, and so never makes room for others.
	patience time.Duration

	mu      sync.Mutex
	conns   map[*clientConn]bool
	closing bool
	wg      sync.WaitGroup
}

type clientConn struct {
	net.Conn
	busy int // requests begun and not answered
	idle time.Time
}

// release ends the wait for a next request. A connection is closed only so:
// where a request's first byte has been read by then, it is answered first.
func (cc *clientConn) release() { cc.SetReadDeadline(time.Unix(1, 0)) }

func newClients(cfg *Config, log *slog.Logger, put func(*request), said func(*request, bool)) *clients {
	most, _ := cfg.budget()
	return &clients{cfg: cfg, log: log, put: put, said: said, most: most, patience: wholeWait, conns: map[*clientConn]bool{}}
}

// serve accepts until the listener is closed.
func (c *clients) serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// Out of descriptors, or the client has left already: neither ends the relay.
			c.log.Warn("clients: accept", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		cc := &clientConn{Conn: conn, idle: time.Now()}
		c.mu.Lock()
		if len(c.conns) >= c.most {
			c.evict()
		}
		c.conns[cc] = true
		c.wg.Add(1)
		c.mu.Unlock()
		go func() {
			defer c.wg.Done()
			c.talk(cc)
			c.mu.Lock()
			delete(c.conns, cc)
			c.mu.Unlock()
			cc.Close()
		}()
	}
}

// evict closes the connection that has been idle for longest, to make room for
// a new one: clients open another when they need it. The caller holds mu.
func (c *clients) evict() {
	var oldest *clientConn
	for cc := range c.conns {
		if cc.busy == 0 && (oldest == nil || cc.idle.Before(oldest.idle)) {
			oldest = cc
		}
	}
	if oldest != nil {
		delete(c.conns, oldest)
		oldest.release()
	}
}

// closeIdle closes the connections that carry no request, and each of the
// others after its answer.
func (c *clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for cc := range c.conns {
		if cc.busy == 0 {
			cc.release()
		}
	}
}

// begin marks a request whose first byte has come.
func (c *clients) begin(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.busy++
	cc.SetReadDeadline(time.Now().Add(c.patience))
}

// finish marks a request answered; it reports whether the connection is to be
// closed now.
func (c *clients) finish(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.busy--
	cc.idle = time.Now()
	return c.closing && cc.busy == 0
}

type command struct {
	args [][]byte
	err  error
	at   time.Time
}

// talk answers one client's commands in turn. A goroutine of its own reads, so
// that a client that leaves before its answer is noticed.
func (c *clients) talk(cc *clientConn) {
	commands := make(chan command)
	quit := make(chan struct{})
	defer close(quit)
	go func() {
		defer close(commands)
		in := bufio.NewReader(cc)
		for {
			if _, err := in.Peek(1); err != nil {
				return
			}
			c.begin(cc)
			args, err := readCommand(in)
			cc.SetReadDeadline(time.Time{})
			if err != nil && (errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, new(net.Error))) {
				return // nobody is there to be told
			}
			select {
			case commands <- command{args, err, time.Now()}:
			case <-quit:
				return
			}
			if err != nil && err != errTooLong {
				return
			}
		}
	}()
	for cmd := range commands {
		for more := &cmd; more != nil; {
			cmd := *more
			if cmd.err != nil && cmd.err != errTooLong {
				c.write(cc, fault(cmd.err))
				linger(cc)
				return
			}
			ok := false
			ok, more = c.one(cc, cmd, commands)
			if !ok || c.finish(cc) {
				return
			}
		}
	}
}

// one answers one command. It hands back what the client sent ahead of the
// answer, and false where the connection is of no more use.
func (c *clients) one(cc *clientConn, cmd command, commands chan command) (bool, *command) {
	if cmd.err != nil {
		return c.write(cc, fault(cmd.err)), nil
	}
	switch name := string(bytes.ToUpper(cmd.args[0])); name {
	case "PING":
		if len(cmd.args) > 1 {
			p := cmd.args[1]
			return c.write(cc, "$"+strconv.Itoa(len(p))+"\r\n"+string(p)+"\r\n"), nil
		}
		return c.write(cc, "+PONG\r\n"), nil
	case "MSG.PUT":
		return c.handIn(cc, cmd, commands)
	default:
		return c.write(cc, fault(fmt.Errorf("unknown command %.32q", name))), nil
	}
}

// handIn hands a message to the loop and writes its answer.
func (c *clients) handIn(cc *clientConn, cmd command, commands chan command) (bool, *command) {
	q, err := c.cfg.parsePut(cmd.args, cmd.at)
	if err != nil {
		return c.write(cc, fault(err)), nil
	}
	c.put(q)
	var ahead *command
	var reply string
	select {
	case reply = <-q.reply:
	case next, open := <-commands:
		if !open { // gone before its answer
			c.said(q, false)
			return false, nil
		}
		ahead = &next
		reply = <-q.reply
	}
	ok := c.write(cc, reply)
	c.said(q, ok)
	return ok, ahead
}

func (c *clients) write(cc *clientConn, s string) bool {
	cc.SetWriteDeadline(time.Now().Add(writeWait))
	_, err := io.WriteString(cc, s)
	return err == nil
}

// linger lets an error reach a client that is still sending: closing at once
// would reset the connection and take the error with it.
func linger(cc *clientConn) {
	if t, ok := cc.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	cc.SetReadDeadline(time.Now().Add(lingerWait))
	io.CopyN(io.Discard, cc, skipMost)
}
