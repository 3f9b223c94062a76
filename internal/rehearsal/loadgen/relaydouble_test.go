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

// relayDouble is a relay that does nothing but pass on: each message is taken on and
// called out at once. What it costs is the least that any relay would.
type relayDouble struct {
	ln   *net.TCPListener
	addr func(dest int) string // of an endpoint of a destination; "" for none
	says func(id string, n int) string
	mu   sync.Mutex
	idle map[string][]*doubleConn
	got  []string
	all  []net.Conn
}

type doubleConn struct {
	net.Conn
	in *bufio.Reader
}

func newRelayDouble(t testing.TB, addr func(dest int) string) *relayDouble {
	t.Helper()
	ln, err := loopback.Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	s := &relayDouble{ln: ln, addr: addr, idle: map[string][]*doubleConn{}}
	t.Cleanup(func() {
		_ = ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.all {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.all = append(s.all, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *relayDouble) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReaderSize(c, 1024)
	for {
		var args [5][]byte
		if _, err := in.ReadSlice('\n'); err != nil {
			return
		}
		for i := range args {
			head, err := in.ReadSlice('\n')
			if err != nil {
				return
			}
			n, err := strconv.Atoi(string(bytes.TrimSpace(head[1:])))
			if err != nil {
				return
			}
			args[i] = make([]byte, n+2)
			if _, err := io.ReadFull(in, args[i]); err != nil {
				return
			}
			args[i] = args[i][:n]
		}
		id := string(args[2])
		s.mu.Lock()
		s.got = append(s.got, fmt.Sprintf("%s %s", id, args[3]))
		n := len(s.got)
		s.mu.Unlock()
		reply := "+OK\r\n"
		if s.says != nil {
			reply = s.says(id, n)
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
		_, at, _ := bytes.Cut(args[3], []byte("dest="))
		at, _, _ = bytes.Cut(at, []byte(","))
		dest, _ := strconv.Atoi(string(at))
		if s.addr == nil || reply[0] != '+' {
			continue
		}
		if to := s.addr(dest); to != "" {
			go s.call(to, id, args[4])
		}
	}
}

func (s *relayDouble) call(to, id string, body []byte) {
	s.mu.Lock()
	var c *doubleConn
	if n := len(s.idle[to]); n > 0 {
		c, s.idle[to] = s.idle[to][n-1], s.idle[to][:n-1]
	}
	s.mu.Unlock()
	if c == nil {
		n, err := net.Dial("tcp4", to)
		if err != nil {
			return
		}
		c = &doubleConn{n, bufio.NewReaderSize(n, 512)}
		s.mu.Lock()
		s.all = append(s.all, n)
		s.mu.Unlock()
	}
	_, _ = fmt.Fprintf(c, "POST /v1/messages HTTP/1.1\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 2000\r\n"+
		"Content-Length: %d\r\n\r\n%s",
		id, len(body), body)
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		_ = c.Close()
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	s.mu.Lock()
	s.idle[to] = append(s.idle[to], c)
	s.mu.Unlock()
}
