package config

import (
	"fmt"
	"syscall"

	"troutusher/internal/connlimit"
	"troutusher/internal/operatorconfig"
)

// Limits are the amounts of the machine's resources that the relay's process may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // number of CPU cores
	MemoryMB int     `json:"memory_mb"` // in units of 2^20 bytes
	Sockets  int     `json:"sockets"`   // number of open file descriptors of all kinds, not only sockets
	DiskMB   int     `json:"disk_mb"`   // maximum size of the state directory, in units of 2^20 bytes
}

// Defaults of Limits.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultDiskMB   = 3
)

const (
	// ReservedDescriptors is the number of file descriptors that are reserved for the Go
	// runtime, the write-ahead log, the listeners and discovery.
	ReservedDescriptors = 32

	minDescriptors = 64 // file descriptors that a relay needs at least

	// spareEndpointConns is the number of connections to endpoints beyond one for each
	// concurrent call. Health checks, which are not calls, use connections too.
	spareEndpointConns = 8
)

// withDefaults returns the limits with zeros replaced by defaults. It returns an error if
// a limit is invalid.
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

// applyClientSettings applies the operator's settings for client connections. It returns an
// error if the process may not open as many descriptors as the operator demands, or if the
// client connections would not leave enough descriptors for calls to endpoints.
func (c *Config) applyClientSettings(clients *operatorconfig.Clients) error {
	c.ClientSettings = *clients
	if want := clients.Descriptors; want > 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(want) {
			return fmt.Errorf("clients.descriptors: %d, want at most %d, the open files limit of the process",
				want, limit.Cur)
		}
		c.Limits.Sockets = want
	}
	calls := c.Policy.MaxConcurrentCalls
	if limit := c.Limits.Sockets - ReservedDescriptors - calls - spareEndpointConns; clients.MaxConns > limit {
		return fmt.Errorf( // clients.places is the key of MaxConns in the operator's file
			"clients.places: %d client connections, want at most %d; %d concurrent calls need descriptors too",
			clients.MaxConns, limit, calls)
	}
	return nil
}

// DescriptorBudget divides the descriptors that are not reserved between connections of
// clients and connections to endpoints. If the operator has set the number of client
// connections, the endpoints get the rest.
//
// Otherwise the endpoints get the largest of three numbers, but at most half of the descriptors,
// even if the concurrent calls need more than half:
//   - a quarter of the descriptors
//   - one for each concurrent call, plus spareEndpointConns. Each call in flight needs a
//     connection of its own.
//   - two for each concurrent call, but at most 2/5 of the descriptors. With two, a connection
//     can stay open and idle after its call. If all descriptors of the endpoints are in use, a
//     call that needs a new connection must first close an idle one to another endpoint.
func (c *Config) DescriptorBudget() (clients, endpoints int) {
	free := c.Limits.Sockets - ReservedDescriptors
	if maxConns := c.ClientSettings.MaxConns; maxConns > 0 {
		return maxConns, free - maxConns
	}
	calls := c.Policy.MaxConcurrentCalls
	endpoints = max(free/4, calls+spareEndpointConns, min(2*calls, free*2/5))
	endpoints = min(endpoints, free/2)
	return free - endpoints, endpoints
}

// EndpointConnsMissing returns how many of the concurrent calls get no connection of their own from
// DescriptorBudget, because they need more than half of the descriptors. Such calls wait for a connection.
func (c *Config) EndpointConnsMissing() int {
	_, endpoints := c.DescriptorBudget()
	return max(c.Policy.MaxConcurrentCalls-endpoints, 0)
}

// ConnLimits returns the limits for admitting and evicting connections of clients: the
// defaults of package connlimit, except where the operator has set a value. An unvalidated
// connection has not sent a valid command yet. If more than SingleUseEvictionThreshold
// connections have sent a request, idle connections that have sent exactly one are evicted.
func (c *Config) ConnLimits() connlimit.Limits {
	maxConns, _ := c.DescriptorBudget()
	limits := connlimit.DefaultLimits(maxConns, c.Limits.Sockets)
	clients := &c.ClientSettings
	if clients.MaxUnvalidated > 0 {
		limits.MaxUnvalidated = min(clients.MaxUnvalidated, maxConns)
	}
	if clients.SingleUseEvictionThreshold > 0 {
		limits.SingleUseEvictionThreshold = clients.SingleUseEvictionThreshold
	}
	if clients.IdleTimeoutS > 0 {
		limits.IdleTimeout = clients.IdleTimeout().Microseconds()
	}
	return limits
}
