//go:build !linux

package loopback

// Port is a port of Host that was free when it was chosen. Only Linux can reserve it; elsewhere another server
// may take it first.
type Port struct{ addr string }

// ReservePort chooses a free port.
func ReservePort() (*Port, error) {
	listener, err := Listen(0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // it has accepted nothing
	return &Port{addr: listener.Addr().String()}, nil
}

// Addr returns the address with the port, host:port.
func (p *Port) Addr() string { return p.addr }

// Close does nothing.
func (p *Port) Close() error { return nil }
