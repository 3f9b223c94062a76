package config

import (
	"fmt"
	"syscall"

	"troutusher/internal/connlimit"
	"troutusher/internal/operatorconfig"
)

// Limits are the limits of the relay's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // in units of 2^20 bytes
	Sockets  int     `json:"sockets"`   // descriptors
	DiskMB   int     `json:"disk_mb"`   // of the state folder, in units of 2^20 bytes
}

// Defaults of Limits.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultDiskMB   = 3
)

const (
	// ReservedDescriptors is the number of descriptors for the runtime, the log, the
	// listeners and discovery.
	ReservedDescriptors = 32

	minDescriptors     = 64 // a relay cannot work with fewer
	spareEndpointConns = 8  // connections to endpoints beside those in use

	// The commands of clients may use this part of the memory.
	commandMemoryDivisor = 8
)

// withDefaults returns the limits with defaults in place of zeros, or an error for
// invalid ones.
func (l Limits) withDefaults() (Limits, error) {
	switch {
	case l.Cores < 0:
		return l, fmt.Errorf("cores: %v, want 0 or more", l.Cores)
	case l.MemoryMB < 0:
		return l, fmt.Errorf("memory_mb: %d, want 0 or more", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minDescriptors:
		return l, fmt.Errorf("sockets: %d, want at least %d", l.Sockets, minDescriptors)
	case l.DiskMB < 0:
		return l, fmt.Errorf("disk_mb: %d, want 0 or more", l.DiskMB)
	}
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.DiskMB == 0 {
		l.DiskMB = defaultDiskMB
	}
	return l, nil
}

// applyClientSettings applies the operator's settings for client connections. It
// returns an error if there are not enough descriptors for them.
func (c *Config) applyClientSettings(clients *operatorconfig.Clients) error {
	c.ClientSettings = *clients
	if want := clients.Descriptors; want > 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(want) {
			return fmt.Errorf("clients.descriptors: %d, and the process may have %d", want, limit.Cur)
		}
		c.Limits.Sockets = want
	}
	calls := c.Policy.MaxConcurrentCalls
	if most := c.Limits.Sockets - ReservedDescriptors - calls - spareEndpointConns; clients.MaxConns > most {
		return fmt.Errorf("clients.places: %d, and beside %d calls out there are descriptors for %d",
			clients.MaxConns, calls, most)
	}
	return nil
}

// DescriptorBudget divides the descriptors between connections of clients and those
// to endpoints.
//
// Each call in flight needs a connection, so the endpoints get at least as many as
// there are concurrent calls, as long as half is left to the clients. They get twice
// as many if possible, which leaves some idle connections to each endpoint: with
// fewer, each call would have to close the connection to another endpoint.
func (c *Config) DescriptorBudget() (clients, endpoints int) {
	free := c.Limits.Sockets - ReservedDescriptors
	if most := c.ClientSettings.MaxConns; most > 0 {
		return most, free - most
	}
	calls := c.Policy.MaxConcurrentCalls
	endpoints = max(free/4, calls+spareEndpointConns, min(2*calls, free*2/5))
	endpoints = min(endpoints, free/2)
	return free - endpoints, endpoints
}

// ConnLimits returns the limits for admitting and evicting connections of clients.
func (c *Config) ConnLimits() connlimit.Limits {
	most, _ := c.DescriptorBudget()
	limits := connlimit.DefaultLimits(most, c.Limits.Sockets)
	clients := &c.ClientSettings
	if clients.MaxUnvalidated > 0 {
		limits.MaxUnvalidated = min(clients.MaxUnvalidated, most)
	}
	if clients.SingleUseEvictionThreshold > 0 {
		limits.SingleUseEvictionThreshold = clients.SingleUseEvictionThreshold
	}
	if clients.IdleTimeoutS > 0 {
		limits.IdleTimeout = clients.IdleTimeout().Microseconds()
	}
	return limits
}

// CommandMemory returns how many bytes of memory the commands of clients may use that
// are being read or wait for their reply.
func (c *Config) CommandMemory() int {
	if c.ClientSettings.MemoryMB > 0 {
		return c.ClientSettings.MemoryMB << 20
	}
	return c.Limits.MemoryMB << 20 / commandMemoryDivisor
}
