// Package loopback gives each process that runs emulators a loopback address of its
// own, so that rehearsals and tests that run at the same time do not meet, and a port
// that was closed for a while is free when it is opened again. No other machine can
// reach the addresses.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"
)

// host derives the address from the process ID.
var host = sync.OnceValue(func() string {
	pid := os.Getpid()
	own := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid)).String()
	if listener, err := net.Listen("tcp4", net.JoinHostPort(own, "0")); err == nil {
		_ = listener.Close()
		return own
	}
	return "127.0.0.1" // on systems that set up no other address of 127.0.0.0/8
})

// Host is the loopback address of this process (RFC 1122, section 3.2.1.3).
func Host() string { return host() }

// Listen listens at Host. Port 0 takes a free port.
func Listen(port int) (*net.TCPListener, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(Host(), strconv.Itoa(port)))
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}
