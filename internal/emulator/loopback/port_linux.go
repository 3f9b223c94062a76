package loopback

import (
	"net"
	"net/netip"
	"os"
	"syscall"
)

// Port is a port of Host that is reserved for a server in another process. Its socket is bound and does not
// listen. Linux therefore gives the port to nobody who asks for any free port, but lets a server that names the
// port, and sets SO_REUSEADDR as Go does, listen on it, also repeatedly. While no server listens, connections
// are refused.
type Port struct {
	socket int
	addr   string
}

// ReservePort reserves a free port until Close.
func ReservePort() (*Port, error) {
	host, err := netip.ParseAddr(Host())
	if err != nil {
		return nil, err
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	port := &Port{socket: socket}
	if err := port.bind(host); err != nil {
		_ = port.Close() // nothing is lost with it
		return nil, err
	}
	return port, nil
}

// bind binds the socket to a free port of an address.
func (p *Port) bind(host netip.Addr) error {
	err := syscall.SetsockoptInt(p.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(p.socket, &syscall.SockaddrInet4{Addr: host.As4()}); err != nil {
		return os.NewSyscallError("bind", err)
	}
	name, err := syscall.Getsockname(p.socket)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return &net.AddrError{Err: "no IPv4 address", Addr: host.String()}
	}
	p.addr = netip.AddrPortFrom(host, uint16(bound.Port)).String()
	return nil
}

// Addr returns the address with the port, host:port.
func (p *Port) Addr() string { return p.addr }

// Close ends the reservation. A server that listens on the port keeps it.
func (p *Port) Close() error { return os.NewSyscallError("close", syscall.Close(p.socket)) }
