// Package loopback gives stand-ins addresses of their own on this machine, so
// that rehearsals and tests that run side by side never meet, and a port that
// was closed for a while is still free when it is opened again. It never gives
// an address that another machine can reach.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"
)

var host = sync.OnceValue(func() string {
	pid := os.Getpid()
	own := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid)).String()
	if ln, err := net.Listen("tcp4", net.JoinHostPort(own, "0")); err == nil {
		_ = ln.Close()
		return own
	}
	return "127.0.0.1" // where the rest of 127.0.0.0/8 is not set up
})

// Host is this process's own loopback address (RFC 1122, section 3.2.1.3).
func Host() string { return host() }

// Listen listens on this process's own address; port 0 takes a free one.
func Listen(port int) (*net.TCPListener, error) {
	ln, err := net.Listen("tcp4", net.JoinHostPort(Host(), strconv.Itoa(port)))
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}
