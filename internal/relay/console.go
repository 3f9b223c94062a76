package relay

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/console"
	"troutusher/internal/lifecycle"
)

// endpointStatsInterval is how often the endpoint counts for the console are updated. The
// other counts are updated at each step.
const endpointStatsInterval = 200 * time.Millisecond

// consoleCalls returns the handlers of the operators' console. No handler waits for the
// event loop: drains are applied to the RESP server directly, and the event loop keeps
// the statistics up to date in memory.
func (r *Relay) consoleCalls() console.Handlers {
	logged := func(call string, change transition) func() (bool, string) {
		return func() (bool, string) {
			answer := r.lifecycle.apply(change)
			r.log.Log(r.ctx, slog.LevelInfo, "console", "call", call, "yes", answer.OK, "why", answer.Reason)
			return answer.OK, answer.Reason
		}
	}
	return console.Handlers{
		Ready: func() (bool, string) {
			answer := r.lifecycle.apply(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) {
				return m.Ready(), lifecycle.NoAction
			})
			return answer.OK, answer.Reason
		},
		Drain:   logged("drain", (*lifecycle.Machine).StartDrain),
		Undrain: logged("undrain", (*lifecycle.Machine).EndDrain),
		Stats:   r.appendStats,
	}
}

// appendStats appends all statistics to buf, including those of TLS if there are TLS rules.
func (r *Relay) appendStats(buf []byte) []byte {
	buf = r.stats.AppendTo(buf)
	dialer := r.consoleTLSPeers.Load()
	if dialer == nil {
		return buf
	}
	const counter, gauge = "c", "g"
	appendFigure := func(name string, value int64, unit string) {
		buf = fmt.Appendf(buf, "%stls_%s:%d|%s\n", console.MetricPrefix, name, value, unit)
	}
	counts := dialer.Counts()
	appendFigure("full", counts.Full, counter)
	appendFigure("resumed", counts.Resumed, counter)
	appendFigure("refused", counts.Rejected, counter)
	appendFigure("broken", counts.Inconclusive, counter)
	appendFigure("out", int64(counts.RejectedEndpoints), gauge)
	dialer.DaysLeft(func(name string, days float64) {
		appendFigure("days."+name, int64(math.Floor(days)), gauge)
	})
	return buf
}

// updateStats copies the core's counts to the console's statistics.
func (r *Relay) updateStats() {
	for class, counts := range r.core.CountsByClass() {
		r.stats.SetOutcomes(class, console.Outcomes(counts))
	}
	r.stats.Pending.Store(int64(r.core.HeldMessages()))
	now := time.Now()
	if now.Sub(r.endpointStatsAt) < endpointStatsInterval {
		return
	}
	r.endpointStatsAt = now
	listed, unhealthy := r.core.ListedEndpoints()
	r.stats.Endpoints.Store(int64(listed))
	r.stats.UnhealthyEndpoints.Store(int64(unhealthy))
}

// classNames returns the names of the message classes, indexed by class number.
func classNames(cfg *config.Config) []string {
	names := make([]string, len(cfg.Policy.Classes))
	for name, class := range cfg.Classes {
		names[class] = name
	}
	return names
}
