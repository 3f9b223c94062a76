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

// endpointStatsInterval is how old the counts of endpoints on the board may be. All
// else there is updated with each step.
const endpointStatsInterval = 200 * time.Millisecond

// consoleCalls are what operators may call. None of them waits for the event loop: a
// drain goes straight to the RESP server, and figures are read from the board.
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

// appendStats appends all figures, those of TLS where there is a rule for it.
func (r *Relay) appendStats(to []byte) []byte {
	to = r.board.AppendTo(to)
	dialer := r.consoleTLSPeers.Load()
	if dialer == nil {
		return to
	}
	const counter, gauge = "c", "g"
	appendFigure := func(name string, value int64, unit string) {
		to = fmt.Appendf(to, "%stls_%s:%d|%s\n", console.MetricPrefix, name, value, unit)
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
	return to
}

// updateBoard shows what the core has counted.
func (r *Relay) updateBoard() {
	for class, counts := range r.core.CountsByClass() {
		r.board.SetOutcomes(class, console.Outcomes(counts))
	}
	r.board.Pending.Store(int64(r.core.HeldMessages()))
	now := time.Now()
	if now.Sub(r.endpointStatsAt) < endpointStatsInterval {
		return
	}
	r.endpointStatsAt = now
	listed, unhealthy := r.core.ListedEndpoints()
	r.board.Endpoints.Store(int64(listed))
	r.board.UnhealthyEndpoints.Store(int64(unhealthy))
}

// classNames are the classes of messages, by their numbers.
func classNames(cfg *config.Config) []string {
	names := make([]string, len(cfg.Policy.Classes))
	for name, class := range cfg.Classes {
		names[class] = name
	}
	return names
}
