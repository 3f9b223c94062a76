package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one call that an endpoint has got: begun when its last byte had come.
type call struct {
	endpoint  string
	id, key   string
	firstByte time.Time
	lastByte  time.Time
}

// answer is what an endpoint does with a call.
type answer struct {
	status int // 0: none, the connection stays silent
	wait   string
	after  time.Duration
}

// endpoint is one endpoint of a partner: HTTP/1.1 with kept-alive connections.
type endpoint struct {
	name     string
	address  string
	rec      *recorder
	listener net.Listener
	mu       sync.Mutex
	behave   func(c *call) answer
	calls    []call
	conns    map[net.Conn]bool
}

func newEndpoint(rec *recorder, name string, behave func(c *call) answer) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{name: name, address: l.Addr().String(), rec: rec, listener: l, behave: behave, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

func (e *endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *endpoint) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		c := call{
			endpoint: e.name, id: req.Header.Get("X-Request-ID"), key: req.Header.Get("Idempotency-Key"),
			firstByte: first, lastByte: time.Now(),
		}
		e.mu.Lock()
		e.calls = append(e.calls, c)
		behave := e.behave
		e.mu.Unlock()
		e.rec.noteAt(c.firstByte, "endpoint %s: call of message %s", e.name, c.id)
		a := behave(&c)
		if a.status == 0 {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		time.Sleep(a.after)
		extra := ""
		if a.wait != "" {
			extra = "Retry-After: " + a.wait + "\r\n"
		}
		e.rec.note("endpoint %s: answers message %s with %d %s", e.name, c.id, a.status, a.wait)
		text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%s\r\n", a.status, http.StatusText(a.status), extra)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func (e *endpoint) setBehaviour(behave func(c *call) answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behave = behave
}

func (e *endpoint) all() []call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]call(nil), e.calls...)
}

func (e *endpoint) member(dest int, kind, phase string, rate float64) member {
	return member{ID: "s-" + e.name, HostPort: e.address, Locality: "dvorana-a", Flavor: kind, Cell: dest, Phase: phase, Size: rate}
}
