package loadgen

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"troutusher/internal/emulator/loopback"
)

// relayDouble is the simplest relay: it accepts each message and delivers it at once, with no
// log, queue or limiter. No real relay can use less CPU.
type relayDouble struct {
	ln *net.TCPListener
	// endpointAddr returns the address of an endpoint of a destination; "" for none, and then
	// the double doesn't deliver the message.
	endpointAddr func(dest int) string
	// reply returns the reply to the n-th submission, counted from 1. "" sends none, and
	// "close" closes the connection.
	reply    func(id string, n int) string
	mu       sync.Mutex
	idle     map[string][]*doubleConn // connections to endpoints, by address
	received []string                 // ID and fields of each submission
	conns    []net.Conn               // all connections, of clients and to endpoints
}

// doubleConn is a connection of a relayDouble to an endpoint.
type doubleConn struct {
	net.Conn
	reader *bufio.Reader
}

func newRelayDouble(t testing.TB, endpointAddr func(dest int) string) *relayDouble {
	t.Helper()
	ln, err := loopback.Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	d := &relayDouble{ln: ln, endpointAddr: endpointAddr, idle: map[string][]*doubleConn{}}
	t.Cleanup(func() {
		_ = ln.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, c := range d.conns {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
	return d
}

// serve reads the submissions of a client's connection, and replies to each.
func (d *relayDouble) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 1024)
	for {
		var args [5][]byte
		if _, err := reader.ReadSlice('\n'); err != nil {
			return
		}
		for i := range args {
			head, err := reader.ReadSlice('\n')
			if err != nil {
				return
			}
			n, err := strconv.Atoi(string(bytes.TrimSpace(head[1:])))
			if err != nil {
				return
			}
			args[i] = make([]byte, n+2)
			if _, err := io.ReadFull(reader, args[i]); err != nil {
				return
			}
			args[i] = args[i][:n]
		}
		id := string(args[2])
		d.mu.Lock()
		d.received = append(d.received, fmt.Sprintf("%s %s", id, args[3]))
		n := len(d.received)
		d.mu.Unlock()
		reply := "+OK\r\n"
		if d.reply != nil {
			reply = d.reply(id, n)
		}
		switch reply {
		case "close":
			return
		case "":
			continue
		}
		if _, err := io.WriteString(c, reply); err != nil {
			return
		}
		_, destText, _ := bytes.Cut(args[3], []byte("dest="))
		destText, _, _ = bytes.Cut(destText, []byte(","))
		dest, _ := strconv.Atoi(string(destText))
		if d.endpointAddr == nil || reply[0] != '+' {
			continue
		}
		if addr := d.endpointAddr(dest); addr != "" {
			go d.deliver(addr, id, args[4])
		}
	}
}

// deliver calls the endpoint at addr, over an idle connection if there is one.
func (d *relayDouble) deliver(addr, id string, body []byte) {
	d.mu.Lock()
	var c *doubleConn
	if n := len(d.idle[addr]); n > 0 {
		c, d.idle[addr] = d.idle[addr][n-1], d.idle[addr][:n-1]
	}
	d.mu.Unlock()
	if c == nil {
		netConn, err := net.Dial("tcp4", addr)
		if err != nil {
			return
		}
		c = &doubleConn{netConn, bufio.NewReaderSize(netConn, 512)}
		d.mu.Lock()
		d.conns = append(d.conns, netConn)
		d.mu.Unlock()
	}
	_, _ = fmt.Fprintf(c, "POST /v1/messages HTTP/1.1\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 2000\r\n"+
		"Content-Length: %d\r\n\r\n%s",
		id, len(body), body)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		_ = c.Close()
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	d.mu.Lock()
	d.idle[addr] = append(d.idle[addr], c)
	d.mu.Unlock()
}
