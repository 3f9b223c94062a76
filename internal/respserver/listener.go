package respserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"

	"troutusher/internal/connlimit"
)

// listenBacklog is how many connections the system may queue for a listener; it
// takes its own limit if that is less.
const listenBacklog = 4096

// listener is a listening socket. Its events have a negative slot.
type listener struct {
	net.Listener
	fd             int
	backlogPoll    int // an epoll set that tells whether a connection is queued
	mayHaveBacklog bool
	closed         bool
	backlogSince   connlimit.Time // when a connection was seen to be queued, after there was none
}

// listenerSlot is the slot of the listener's events in the poller.
func listenerSlot(index int) int32 { return int32(-1 - index) }

// listenerIndex is the index of the listener that has a slot.
func listenerIndex(slot int32) int { return int(-1 - slot) }

// hasBacklog reports whether a connection is queued, and leaves it there.
func (l *listener) hasBacklog() bool {
	var events [1]syscall.EpollEvent
	n, _ := syscall.EpollWait(l.backlogPoll, events[:], 0)
	return n > 0
}

// Close closes the listener; it may be called again.
func (l *listener) Close() error {
	if l == nil || l.closed {
		return nil
	}
	l.closed, l.mayHaveBacklog = true, false
	closeFD(l.backlogPoll)
	return l.Listener.Close()
}

// boundAddr is a socket that is bound and does not listen yet.
type boundAddr struct {
	fd    int
	index int // of its listener
	addr  string
}

// openListeners opens a listener for each address.
func (s *Server) openListeners(addrs []string) error {
	inherited := s.options.InheritedListeners
	for i, addr := range addrs {
		var err error
		matches := func(ln net.Listener) bool { return listensOn(ln, addr) }
		if at := slices.IndexFunc(inherited, matches); at >= 0 {
			ln := inherited[at]
			inherited = slices.Delete(inherited, at, at+1)
			err = s.addListener(i, ln, s.unreadSince())
		} else if s.options.DeferListen {
			err = s.bind(i, addr)
		} else {
			err = s.listen(i, addr)
		}
		if err != nil {
			return err
		}
	}
	for _, ln := range inherited { // of addresses that are no longer wanted
		_ = ln.Close() // nothing depends on it
	}
	return nil
}

// unreadSince is since when inherited sockets may have had input that nobody
// read.
func (s *Server) unreadSince() connlimit.Time {
	if s.options.UnreadSince.IsZero() {
		return s.now() - clientReplyTimeout.Microseconds()
	}
	return s.options.UnreadSince.Sub(s.startedAt).Microseconds()
}

// listensOn reports whether a listener is one for an address.
func listensOn(ln net.Listener, addr string) bool {
	tcpAddr, err := net.ResolveTCPAddr("tcp", addr)
	return err == nil && tcpAddr.String() == ln.Addr().String()
}

// setInheritedOptions sets the socket options that connections inherit from their
// listener. They do so when they are established, which can happen as soon as it
// listens.
func setInheritedOptions(fd int) error {
	return os.NewSyscallError("setsockopt", errors.Join(
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1),
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)))
}

// listenConfig sets the inherited options before the socket listens.
func listenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(c.Control(func(fd uintptr) { err = setInheritedOptions(int(fd)) }), err)
	}}
}

// listen opens a listener.
func (s *Server) listen(index int, addr string) error {
	config := listenConfig()
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return s.addListener(index, ln, s.now())
}

// bind binds an address, so that no other process can, without listening.
func (s *Server) bind(index int, addr string) error {
	tcpAddr, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if tcpAddr.Zone != "" && tcpAddr.IP.To4() == nil {
		return s.listen(index, addr) // link-local: listening at once costs its clients a wait and no more
	}
	fd, err := bindSocket(tcpAddr)
	if err != nil {
		return fmt.Errorf("listen: %s: %w", addr, err)
	}
	s.boundAddrs = append(s.boundAddrs, boundAddr{fd, index, addr})
	return nil
}

// bindSocket opens a TCP socket and binds it. An address without IP is all
// addresses of both families, or of the one that the machine has.
func bindSocket(addr *net.TCPAddr) (fd int, err error) {
	const socketType = syscall.SOCK_STREAM | syscall.SOCK_NONBLOCK | syscall.SOCK_CLOEXEC
	family, sockaddr := socketAddress(addr)
	fd, err = syscall.Socket(family, socketType, 0)
	if err != nil && addr.IP == nil {
		sockaddr = &syscall.SockaddrInet4{Port: addr.Port}
		fd, err = syscall.Socket(syscall.AF_INET, socketType, 0)
	}
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	if err == nil && addr.IP == nil && family == syscall.AF_INET6 {
		// It is off already unless the system's default was changed; on a socket
		// of the other family it fails.
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_IPV6, syscall.IPV6_V6ONLY, 0)
	}
	if err == nil {
		err = setInheritedOptions(fd)
	}
	if err == nil {
		err = os.NewSyscallError("bind", syscall.Bind(fd, sockaddr))
	}
	if err != nil {
		closeFD(fd)
		return -1, err
	}
	return fd, nil
}

// socketAddress converts an address for the system.
func socketAddress(addr *net.TCPAddr) (family int, sockaddr syscall.Sockaddr) {
	if ip := addr.IP.To4(); ip != nil {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(ip)}
	}
	if addr.IP != nil {
		return syscall.AF_INET6, &syscall.SockaddrInet6{Port: addr.Port, Addr: [16]byte(addr.IP.To16())}
	}
	return syscall.AF_INET6, &syscall.SockaddrInet6{Port: addr.Port}
}

// Listen listens on the addresses that New bound with DeferListen, when all is
// there that replies take.
func (s *Server) Listen() error {
	for len(s.boundAddrs) > 0 {
		bound := s.boundAddrs[0]
		s.boundAddrs = s.boundAddrs[1:]
		err := os.NewSyscallError("listen", syscall.Listen(bound.fd, listenBacklog))
		if err != nil {
			closeFD(bound.fd)
			return fmt.Errorf("listen: %s: %w", bound.addr, err)
		}
		now := s.now()
		ln, err := ListenerFromFD(bound.fd)
		if err != nil {
			return fmt.Errorf("listen: %s: %w", bound.addr, err)
		}
		if err := s.addListener(bound.index, ln, now); err != nil {
			return err
		}
	}
	return nil
}

// addListener watches a listener; unreadSince is since when connections may be
// queued. It closes the listener if that fails.
func (s *Server) addListener(index int, ln net.Listener, unreadSince connlimit.Time) error {
	l := &listener{Listener: ln, mayHaveBacklog: true, backlogSince: unreadSince}
	var err error
	if l.backlogPoll, err = syscall.EpollCreate1(syscall.EPOLL_CLOEXEC); err != nil {
		_ = ln.Close() // the error before it counts
		return os.NewSyscallError("epoll_create1", err)
	}
	if err := s.watchListener(l, listenerSlot(index)); err != nil {
		_ = l.Close() // the error before it counts
		return err
	}
	for len(s.listeners) <= index {
		s.listeners = append(s.listeners, nil)
	}
	s.listeners[index] = l
	return nil
}

// watchListener adds a listener to the poller and to its own epoll set.
func (s *Server) watchListener(l *listener, slot int32) error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("listen: %s is no TCP address", l.Addr())
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		controlErr := raw.Control(func(fd uintptr) {
			l.fd = int(fd)
			err = errors.Join(
				setInheritedOptions(l.fd), // the process that handed it over may have set none
				s.poller.add(l.fd, slot, eventReadable|eventEdgeTriggered),
				(&poller{fd: l.backlogPoll}).add(l.fd, slot, eventReadable))
		})
		err = errors.Join(err, controlErr)
	}
	if err != nil {
		return fmt.Errorf("listen: %s: %w", l.Addr(), err)
	}
	return nil
}

// ListenerFromFD makes a listener of a descriptor that another process passed
// on. It takes the descriptor over.
func ListenerFromFD(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // the listener has a duplicate
	return net.FileListener(file)
}

// Addr returns the address of the first listener.
func (s *Server) Addr() net.Addr { return s.listeners[0].Addr() }

// CloseListeners stops accepting connections. Those that are queued by then are
// still accepted.
func (s *Server) CloseListeners() { s.runOnLoop(s.closeListeners) }

func (s *Server) closeListeners() {
	s.acceptBacklog()
	for _, l := range s.listeners {
		_ = l.Close() // the socket is gone in any case
	}
}

// closeListenerSockets closes all listeners and bound sockets at once.
func (s *Server) closeListenerSockets() {
	for _, bound := range s.boundAddrs {
		closeFD(bound.fd)
	}
	s.boundAddrs = nil
	for _, l := range s.listeners {
		_ = l.Close() // the socket is gone in any case
	}
}
