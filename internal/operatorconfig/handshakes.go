package operatorconfig

import (
	"cmp"
	"time"

	"troutusher/internal/tlspolicy"
	"troutusher/internal/tomlfile"
)

const (
	maxBurstMS              = 1000
	maxParallelHandshakes   = 64
	defaultHandshakeTimeout = 3 * time.Second
	minHandshakeTimeoutS    = 0.1
	maxHandshakeTimeoutS    = 30
	defaultSessionCacheSize = 256
	maxSessionCacheSize     = 1 << 16
)

// Handshakes contains the settings for TLS handshakes. The same settings apply to all endpoints.
type Handshakes struct {
	// CPUShare is the share of one core that handshakes may use, above 0 and at most 1.
	CPUShare float64 `toml:"share"`
	// BurstMS is the processor time that handshakes may use at once after a pause, in ms.
	// On average they are limited by CPUShare.
	BurstMS float64 `toml:"burst_ms"`
	// MaxParallel is the maximum number of concurrent handshakes with one endpoint.
	MaxParallel int `toml:"parallel"`
	// TimeoutS is the timeout of a handshake, in seconds.
	TimeoutS float64 `toml:"timeout_s"`
	// MaxSessions is the number of sessions cached for resumption; -1 for none.
	MaxSessions int `toml:"sessions"`
	// SessionKey is the path of a file with at least 32 bytes. The key that encrypts the
	// sessions in the state directory is derived from these bytes. If SessionKey is empty,
	// sessions are not stored.
	SessionKey string `toml:"session_key"`
}

// Limits returns the limits of the handshake budget, which limits the processor time and the
// number of concurrent handshakes. The budget expects a cost for each kind of handshake, full or
// resumed, until it has measured one. Limits reduces an expected cost above the burst to the burst,
// because the budget could never pay for a handshake that costs more than the burst.
func (h *Handshakes) Limits() tlspolicy.HandshakeLimits {
	limits := tlspolicy.DefaultHandshakeLimits()
	limits.Share = cmp.Or(h.CPUShare, limits.Share)
	limits.Burst = cmp.Or(time.Duration(h.BurstMS*float64(time.Millisecond)), limits.Burst)
	limits.MaxParallel = cmp.Or(h.MaxParallel, limits.MaxParallel)
	for kind := range limits.Cost {
		limits.Cost[kind] = min(limits.Cost[kind], limits.Burst)
	}
	return limits
}

// Timeout returns the timeout of a handshake.
func (h *Handshakes) Timeout() time.Duration {
	return cmp.Or(seconds(h.TimeoutS), defaultHandshakeTimeout)
}

// SessionCacheSize returns the number of sessions to cache.
func (h *Handshakes) SessionCacheSize() int {
	return max(cmp.Or(h.MaxSessions, defaultSessionCacheSize), 0)
}

func (h *Handshakes) validate(check *tomlfile.Checker) {
	if !within(h.CPUShare, 0, 1) {
		check.Errorf("handshakes.share", "%v, want above 0 and 1 at most", h.CPUShare)
	}
	if ms := h.BurstMS; ms != 0 && !within(ms, 1, maxBurstMS) {
		check.Errorf("handshakes.burst_ms", "%v, want 1 to %d", ms, maxBurstMS)
	}
	if n := h.MaxParallel; n < 0 || n > maxParallelHandshakes {
		check.Errorf("handshakes.parallel", "%d, want 1 to %d", n, maxParallelHandshakes)
	}
	if s := h.TimeoutS; s != 0 && !within(s, minHandshakeTimeoutS, maxHandshakeTimeoutS) {
		check.Errorf("handshakes.timeout_s", "%v, want %v to %d", s, minHandshakeTimeoutS, maxHandshakeTimeoutS)
	}
	if n := h.MaxSessions; n < -1 || n > maxSessionCacheSize {
		check.Errorf("handshakes.sessions", "%d, want -1 to %d", n, maxSessionCacheSize)
	}
}
