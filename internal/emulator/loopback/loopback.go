// Package loopback gives each process that runs emulators a loopback address of its own.
// Rehearsals and tests that run at the same time therefore cannot reach each other's servers
// by mistake, and a port that an emulator closes for a while is still free when the emulator
// opens it again. Other machines cannot reach the addresses.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"
)

// host computes the address from the process ID.
var host = sync.OnceValue(func() string {
	pid := os.Getpid()
	own := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid)).String()
	if listener, err := net.Listen("tcp4", net.JoinHostPort(own, "0")); err == nil {
		_ = listener.Close()
		return own
	}
	return "127.0.0.1" // for systems on which no other address of 127.0.0.0/8 is set up
})

// Host returns the loopback address of this process (RFC 1122, section 3.2.1.3).
func Host() string { return host() }

// Listen listens on a port of Host. With port 0, the system chooses a free port.
func Listen(port int) (*net.TCPListener, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(Host(), strconv.Itoa(port)))
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}
