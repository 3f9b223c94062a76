package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// answer is what an endpoint does with a call.
type answer struct {
	delay  time.Duration
	status int // 0: no answer, the connection stays open; -1: the connection is reset
	header string
}

// call is a call that reached an endpoint.
type call struct {
	id, key     string
	first, last time.Time // of its bytes
	probe       bool
	endpoint    string
}

// endpoint stands in for an endpoint of a partner.
type endpoint struct {
	world    *world
	name     string
	addr     string
	listener net.Listener
	decide   func(c *call) answer

	mu    sync.Mutex
	calls []*call
	conns map[net.Conn]bool
}

func (w *world) newEndpoint(name string, decide func(c *call) answer) *endpoint {
	e := &endpoint{world: w, name: name, decide: decide, conns: map[net.Conn]bool{}}
	var err error
	e.listener, err = net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e.addr = e.listener.Addr().String()
	go func() {
		for {
			conn, err := e.listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// member returns the endpoint's entry in the list.
func (e *endpoint) member(locality, flavor string, dest int, rate float64) member {
	return member{ID: e.name, HostPort: e.addr, Locality: locality, Flavor: flavor, Cell: dest, Phase: "up", Size: rate}
}

// all returns the calls so far.
func (e *endpoint) all() []*call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*call(nil), e.calls...)
}

func (e *endpoint) serve(conn net.Conn) {
	e.mu.Lock()
	e.conns[conn] = true
	e.mu.Unlock()
	defer func() {
		conn.Close()
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
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		c := &call{
			id: req.Header.Get("X-Request-ID"), key: req.Header.Get("Idempotency-Key"), first: first, last: time.Now(),
			probe: req.Method == http.MethodGet, endpoint: e.name,
		}
		e.mu.Lock()
		e.calls = append(e.calls, c)
		e.mu.Unlock()
		a := e.decide(c)
		e.world.logAt(c.last, "%s call %s key=%s answer=%d after %v", e.name, c.id, c.key, a.status, a.delay)
		if !e.await(conn, reader, c, a.delay) {
			return
		}
		switch a.status {
		case 0:
			e.await(conn, reader, c, time.Hour)
			return
		case -1:
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", a.status, http.StatusText(a.status), a.header)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// await waits before an answer. It returns false if the caller ends the connection meanwhile; the call runs on.
func (e *endpoint) await(conn net.Conn, reader *bufio.Reader, c *call, delay time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(delay))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	e.world.log("%s: the caller of %s has ended its connection", e.name, c.id)
	return false
}
