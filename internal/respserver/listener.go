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

// listenBacklog is how many connections the system may queue for a listener. The system's own limit
// applies if it is lower.
const listenBacklog = 4096

// listener is a listening socket. The poller reports its events with a negative slot number.
type listener struct {
	net.Listener
	fd             int
	backlogPoll    int // epoll set with only this listener, to check its queue without accepting
	mayHaveBacklog bool
	closed         bool
	// backlogSince is when the queue was first seen non-empty after it had been empty. It starts as the
	// earliest time at which a connection can have been queued.
	backlogSince connlimit.Time
}

// listenerSlot returns the slot number of a listener's events in the poller.
func listenerSlot(index int) int32 { return int32(-1 - index) }

// listenerIndex returns the index of the listener whose events have the given slot number.
func listenerIndex(slot int32) int { return int(-1 - slot) }

// hasBacklog reports whether a connection is queued, without accepting it.
func (l *listener) hasBacklog() bool {
	var events [1]syscall.EpollEvent
	n, _ := syscall.EpollWait(l.backlogPoll, events[:], 0)
	return n > 0
}

// Close closes the listener. Further calls do nothing.
func (l *listener) Close() error {
	if l == nil || l.closed {
		return nil
	}
	l.closed, l.mayHaveBacklog = true, false
	closeFD(l.backlogPoll)
	return l.Listener.Close()
}

// boundAddr is a socket that is bound to its address and does not listen yet.
type boundAddr struct {
	fd    int
	index int // of its future listener in Server.listeners
	addr  string
}

// openListeners opens a listener for each address, or reuses an inherited listener that has this
// address. With DeferListen it only binds the addresses that have no inherited listener.
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
	for _, ln := range inherited { // their addresses are no longer configured
		_ = ln.Close() // an error has no consequence
	}
	return nil
}

// unreadSince returns the earliest time at which unread input of inherited sockets can have arrived, or
// connections can have been queued at them. If that is not known, it returns the time that lies as far
// back as the longest time that a client waits for a reply.
func (s *Server) unreadSince() connlimit.Time {
	if s.options.UnreadSince.IsZero() {
		return s.now() - clientReplyTimeout.Microseconds()
	}
	return s.options.UnreadSince.Sub(s.startedAt).Microseconds()
}

// listensOn reports whether a listener listens on the given address.
func listensOn(ln net.Listener, addr string) bool {
	tcpAddr, err := net.ResolveTCPAddr("tcp", addr)
	return err == nil && tcpAddr.String() == ln.Addr().String()
}

// setInheritedOptions sets the socket options that accepted connections inherit from their listener.
// A connection takes them over when it is established, which can happen as soon as the listener
// listens, so they have to be set before that.
func setInheritedOptions(fd int) error {
	return os.NewSyscallError("setsockopt", errors.Join(
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1),
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)))
}

// listenConfig returns a configuration that sets the inherited options before the socket listens.
func listenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) (err error) {
		return errors.Join(c.Control(func(fd uintptr) { err = setInheritedOptions(int(fd)) }), err)
	}}
}

// listen opens a listener on an address.
func (s *Server) listen(index int, addr string) error {
	config := listenConfig()
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	return s.addListener(index, ln, s.now())
}

// bind binds an address without listening, so that no other process can bind it.
func (s *Server) bind(index int, addr string) error {
	tcpAddr, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	if tcpAddr.Zone != "" && tcpAddr.IP.To4() == nil {
		// Link-local addresses are not bound ahead, since socketAddress does not convert their zone.
		// Listening at once has no other effect than that clients which connect early wait.
		return s.listen(index, addr)
	}
	fd, err := bindSocket(tcpAddr)
	if err != nil {
		return fmt.Errorf("bind %s for clients: %w", addr, err)
	}
	s.boundAddrs = append(s.boundAddrs, boundAddr{fd, index, addr})
	return nil
}

// bindSocket opens a TCP socket and binds it. An address without an IP means all addresses of both
// IP families, or of IPv4 if the machine has no IPv6.
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
		// The option is off by default, unless the system's default was changed. On an IPv4 socket
		// the call fails, which does no harm.
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

// socketAddress converts an address to the form that system calls take.
func socketAddress(addr *net.TCPAddr) (family int, sockaddr syscall.Sockaddr) {
	if ip := addr.IP.To4(); ip != nil {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(ip)}
	}
	if addr.IP != nil {
		return syscall.AF_INET6, &syscall.SockaddrInet6{Port: addr.Port, Addr: [16]byte(addr.IP.To16())}
	}
	return syscall.AF_INET6, &syscall.SockaddrInet6{Port: addr.Port}
}

// Listen listens on the addresses that New bound because of DeferListen. The caller calls it when
// the server can reply: everything that it needs for that is ready.
func (s *Server) Listen() error {
	for len(s.boundAddrs) > 0 {
		bound := s.boundAddrs[0]
		s.boundAddrs = s.boundAddrs[1:]
		err := os.NewSyscallError("listen", syscall.Listen(bound.fd, listenBacklog))
		if err != nil {
			closeFD(bound.fd)
			return fmt.Errorf("listen for clients on %s: %w", bound.addr, err)
		}
		now := s.now()
		ln, err := ListenerFromFD(bound.fd)
		if err != nil {
			return fmt.Errorf("listen for clients on %s: %w", bound.addr, err)
		}
		if err := s.addListener(bound.index, ln, now); err != nil {
			return err
		}
	}
	return nil
}

// addListener adds a listener to the server and the poller, and closes it if that fails.
// unreadSince is the earliest time at which a connection can have been queued at it.
func (s *Server) addListener(index int, ln net.Listener, unreadSince connlimit.Time) error {
	l := &listener{Listener: ln, mayHaveBacklog: true, backlogSince: unreadSince}
	var err error
	if l.backlogPoll, err = syscall.EpollCreate1(syscall.EPOLL_CLOEXEC); err != nil {
		_ = ln.Close() // the first error is the one to report
		return os.NewSyscallError("epoll_create1", err)
	}
	if err := s.watchListener(l, listenerSlot(index)); err != nil {
		_ = l.Close() // the first error is the one to report
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
		return fmt.Errorf("listen for clients on %s: not a TCP listener", l.Addr())
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		controlErr := raw.Control(func(fd uintptr) {
			l.fd = int(fd)
			err = errors.Join(
				setInheritedOptions(l.fd), // the previous process may not have set them on a listener that it passed on
				s.poller.add(l.fd, slot, eventReadable|eventEdgeTriggered),
				(&poller{fd: l.backlogPoll}).add(l.fd, slot, eventReadable))
		})
		err = errors.Join(err, controlErr)
	}
	if err != nil {
		return fmt.Errorf("watch listener on %s for clients: %w", l.Addr(), err)
	}
	return nil
}

// ListenerFromFD returns a listener for a listening socket's descriptor, such as one that another
// process passed on. It takes ownership of the descriptor.
func ListenerFromFD(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // net.FileListener has duplicated the descriptor
	return net.FileListener(file)
}

// Addr returns the address of the first listener.
func (s *Server) Addr() net.Addr { return s.listeners[0].Addr() }

// CloseListeners stops accepting connections, after accepting those that are queued at that moment.
func (s *Server) CloseListeners() { s.runOnLoop(s.closeListeners) }

func (s *Server) closeListeners() {
	s.acceptBacklog()
	for _, l := range s.listeners {
		_ = l.Close() // the socket is closed even if this returns an error
	}
}

// closeListenerSockets closes all listeners and bound sockets without accepting queued connections.
func (s *Server) closeListenerSockets() {
	for _, bound := range s.boundAddrs {
		closeFD(bound.fd)
	}
	s.boundAddrs = nil
	for _, l := range s.listeners {
		_ = l.Close() // the socket is closed even if this returns an error
	}
}
