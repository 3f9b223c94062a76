package config

import (
	"fmt"
	"syscall"

	"troutusher/internal/connlimit"
	"troutusher/internal/operatorconfig"
)

// Limits are those of the relay's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // in units of 2^20 bytes
	Sockets  int     `json:"sockets"`   // descriptors
	DiskMB   int     `json:"disk_mb"`   // of the state folder, in units of 2^20 bytes
}

// What holds where the configuration says nothing.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultDiskMB   = 3
)

const (
	// ReservedDescriptors is how many descriptors the runtime, the log, the
	// listeners and discovery hold.
	ReservedDescriptors = 32

	minDescriptors     = 64 // the fewest that a relay can work with
	spareEndpointConns = 8  // connections to endpoints beside those in use

	// Commands of clients may hold one byte of memory in so many.
	commandMemoryDivisor = 8
)

// withDefaults puts in what is left out, and tells of limits that cannot be.
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

// applyClientSettings takes over what the operator says of clients' connections,
// where the descriptors allow it.
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

// DescriptorBudget divides the descriptors between clients and endpoints. A call
// in flight needs one each, so the endpoints' part never lies under the number of
// concurrent calls as long as the clients keep half. Twice that number, where
// there are as many, leaves some idle connections to each endpoint: with fewer,
// each call closes another endpoint's and opens its own.
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

// ConnLimits says which connections of clients are admitted and evicted.
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

// CommandMemory is how many bytes the commands of clients may hold that are being
// read or wait for their reply.
func (c *Config) CommandMemory() int {
	if c.ClientSettings.MemoryMB > 0 {
		return c.ClientSettings.MemoryMB << 20
	}
	return c.Limits.MemoryMB << 20 / commandMemoryDivisor
}
