package respserver

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"troutusher/internal/connlimit"
)

// deferredOptions are for a server that binds and does not listen yet.
func deferredOptions() Options {
	options := testOptions()
	options.DeferListen = true
	options.Handler = func(*Command) Reply { return Reply{Text: "+PONG\r\n", Kind: connlimit.CommandControl} }
	return options
}

// A server that defers Listen has its address, which no other process can serve
// on, and no client connects to it before it can reply.
func TestNoConnectionsBeforeListen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr()
	if server, err := New(deferredOptions(), addr.String()); err == nil {
		server.teardown()
		t.Error("bound an address that another one serves on")
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
		t.Errorf("before Listen: %v", err)
	}
	if err := server.Listen(); err != nil {
		t.Fatal(err)
	}
	client := dial(t, addr) // not served yet; it is in the queue
	if other, err := New(testOptions(), addr.String()); err == nil {
		other.teardown()
		t.Error("two servers on one address")
	}
	runServer(t, server)
	client.ping()
}

// Addresses of all kinds are bound and listened on; what cannot be is an error,
// and nothing is left open.
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
				t.Fatalf("listens on %s", server.Addr())
			}
			dial(t, &net.TCPAddr{IP: net.ParseIP(host), Port: port})
		})
	}
	for _, addr := range []string{"127.0.0.1", "127.0.0.1:65536", "198.51.100.7:0"} {
		t.Run("not "+addr, func(t *testing.T) {
			if server, err := New(deferredOptions(), "127.0.0.1:0", addr); err == nil {
				server.teardown()
				t.Error("bound it")
			}
		})
	}
}

// What connections inherit is set before their listener listens: one that is
// established in between would have small replies held back, and lose them with a
// close.
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
		t.Error("not set on a bound socket")
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
			t.Error("not set on a listener")
		}
	})
	if err != nil {
		t.Error(err)
	}
}
