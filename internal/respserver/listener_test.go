package respserver

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"troutusher/internal/connlimit"
)

// deferredOptions returns options for a server that binds its addresses and does not listen yet.
func deferredOptions() Options {
	options := testOptions()
	options.DeferListen = true
	options.Handler = func(*Command) Reply { return Reply{Text: "+PONG\r\n", Kind: connlimit.CommandControl} }
	return options
}

// A server with DeferListen must hold its address, so that no other process can listen on it, but must
// not let clients connect before Listen: until then it could not reply to them.
func TestNoConnectionsBeforeListen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr()
	if server, err := New(deferredOptions(), addr.String()); err == nil {
		server.teardown()
		t.Error("New succeeded on an address that another socket listens on")
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	server, err := New(deferredOptions(), addr.String())
	if err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", addr.String()); !errors.Is(err, syscall.ECONNREFUSED) {
		if err == nil {
			_ = conn.Close()
		}
		t.Errorf("Dial before Listen: err = %v, want connection refused", err)
	}
	if err := server.Listen(); err != nil {
		t.Fatal(err)
	}
	client := dial(t, addr) // waits in the listen queue until the server runs
	if other, err := New(testOptions(), addr.String()); err == nil {
		other.teardown()
		t.Error("New succeeded on the address of another server")
	}
	runServer(t, server)
	client.ping()
}

// With DeferListen, a server must be able to listen on addresses of every form. An address that cannot
// be bound must be an error of New.
func TestDeferredListenAddresses(t *testing.T) {
	for addr, host := range map[string]string{
		":0": "127.0.0.1", "0.0.0.0:0": "127.0.0.1", "localhost:0": "127.0.0.1", "127.0.0.9:0": "127.0.0.9",
	} {
		t.Run(addr, func(t *testing.T) {
			server, err := New(deferredOptions(), addr)
			if err != nil {
				t.Fatal(err)
			}
			defer server.teardown()
			if err := server.Listen(); err != nil {
				t.Fatal(err)
			}
			port := server.Addr().(*net.TCPAddr).Port
			if port == 0 {
				t.Fatalf("Addr() = %s, want a port", server.Addr())
			}
			dial(t, &net.TCPAddr{IP: net.ParseIP(host), Port: port})
		})
	}
	for _, addr := range []string{"127.0.0.1", "127.0.0.1:65536", "198.51.100.7:0"} {
		t.Run("invalid "+addr, func(t *testing.T) {
			if server, err := New(deferredOptions(), "127.0.0.1:0", addr); err == nil {
				server.teardown()
				t.Errorf("New on %s = nil error, want an error", addr)
			}
		})
	}
}

// Connections inherit socket options when they are established. If the options were set only after the
// listener listens, a connection established in between would lack TCP_NODELAY: its small replies would
// be held back and could be lost when it is closed.
func TestSocketOptionsSetBeforeListen(t *testing.T) {
	noDelay := func(fd int) bool {
		value, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		if err != nil {
			t.Fatal(err)
		}
		return value == 1
	}
	server, err := New(deferredOptions(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.teardown()
	if len(server.boundAddrs) != 1 || !noDelay(server.boundAddrs[0].fd) {
		t.Error("TCP_NODELAY is not set on a bound socket")
	}
	config := listenConfig()
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if !noDelay(int(fd)) {
			t.Error("TCP_NODELAY is not set on a listener")
		}
	})
	if err != nil {
		t.Error(err)
	}
}
