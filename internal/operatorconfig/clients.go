package operatorconfig

import (
	"net"
	"strconv"
	"time"

	"troutusher/internal/tomlfile"
)

// Limits of Clients.Descriptors.
const (
	MinDescriptors = 64
	MaxDescriptors = 1 << 20
)

const (
	maxListenAddresses = 64
	minClientIdleS     = 2 // minimum of IdleTimeoutS, which closes no connection sooner after its last request
	maxClientIdleS     = 86400
	maxMemoryMB        = 1 << 20
)

// Clients contains the settings for connections of clients. In the keys of the file, places
// are connections, and strangers are connections that have not sent a valid command.
type Clients struct {
	// ListenAddresses contains additional addresses to listen on, as host:port.
	ListenAddresses []string `toml:"listen"`
	// Descriptors is the maximum number of file descriptors of the process. It
	// overrides limits.sockets of the relay's own configuration file (package config).
	Descriptors int `toml:"descriptors"`
	// MaxConns is the maximum number of open connections of clients.
	MaxConns int `toml:"places"`
	// MaxUnvalidated is the maximum number of connections that have not sent a valid
	// command yet.
	MaxUnvalidated int `toml:"strangers"`
	// SingleUseEvictionThreshold is the number of connections that have sent a request above
	// which the relay evicts connections that are idle after exactly one request: after each
	// reply, the one that has been idle longest. The key asked_most refers to the connections
	// that have sent (asked) a request.
	SingleUseEvictionThreshold int `toml:"asked_most"`
	// IdleTimeoutS is the time after which an idle connection is closed, in seconds.
	IdleTimeoutS float64 `toml:"idle_s"`
	// MemoryMB is the maximum memory of commands that are being read or wait for a reply,
	// in units of 2^20 bytes.
	MemoryMB int `toml:"memory_mb"`
}

// IdleTimeout returns IdleTimeoutS as a duration.
func (c *Clients) IdleTimeout() time.Duration { return seconds(c.IdleTimeoutS) }

func (c *Clients) validate(check *tomlfile.Checker) {
	for _, number := range []struct {
		key             string
		value, min, max int
	}{
		{"clients.descriptors", c.Descriptors, MinDescriptors, MaxDescriptors},
		{"clients.places", c.MaxConns, 1, MaxDescriptors},
		{"clients.strangers", c.MaxUnvalidated, 1, MaxDescriptors},
		{"clients.asked_most", c.SingleUseEvictionThreshold, 1, MaxDescriptors},
		{"clients.memory_mb", c.MemoryMB, 1, maxMemoryMB},
	} {
		if number.value != 0 && (number.value < number.min || number.value > number.max) {
			check.Errorf(number.key, "%d, want %d to %d", number.value, number.min, number.max)
		}
	}
	// The errors of the next two checks give the value that is too large and the one that limits it:
	// strangers must not exceed places, and places must be fewer than descriptors.
	if c.MaxConns > 0 && c.MaxUnvalidated > c.MaxConns {
		check.Errorf("clients.strangers", "%d of %d places", c.MaxUnvalidated, c.MaxConns)
	}
	if c.Descriptors > 0 && c.MaxConns >= c.Descriptors {
		check.Errorf("clients.places", "%d with %d descriptors", c.MaxConns, c.Descriptors)
	}
	if s := c.IdleTimeoutS; s != 0 && !within(s, minClientIdleS, maxClientIdleS) {
		check.Errorf("clients.idle_s", "%v, want %d to %d", s, minClientIdleS, maxClientIdleS)
	}
	c.validateListenAddresses(check)
}

func (c *Clients) validateListenAddresses(check *tomlfile.Checker) {
	const key = "clients.listen"
	if len(c.ListenAddresses) > maxListenAddresses {
		check.Errorf(key, "%d addresses, want %d at most", len(c.ListenAddresses), maxListenAddresses)
	}
	seen := map[string]bool{}
	for _, address := range c.ListenAddresses { // as host:port, where the host must be an IP address
		host, port, err := net.SplitHostPort(address)
		switch {
		case err != nil:
			check.Errorf(key, "%v", err)
		case net.ParseIP(host) == nil:
			check.Errorf(key, "%s: the host must be an address", address)
		case !isPort(port):
			check.Errorf(key, "%s: the port must be a number from 1 to 65535", address)
		case seen[address]:
			check.Errorf(key, "%s: named twice", address)
		}
		seen[address] = true
	}
}

// isPort reports whether a text is a port number from 1 to 65535.
func isPort(text string) bool {
	n, err := strconv.ParseUint(text, 10, 16)
	return err == nil && n > 0
}
