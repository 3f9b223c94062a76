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

// What operators call and see. Nothing here waits for the loop: a drain goes
// straight to the front, and figures are read where the loop put them.

// endpointStatsInterval is how old the figures of endpoints may be. The others are put up
// with each step.
const endpointStatsInterval = 200 * time.Millisecond

// consoleCalls are what the console may call.
func (r *Relay) consoleCalls() console.Handlers {
	told := func(what string, f func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action)) func() (bool, string) {
		return func() (bool, string) {
			yes, why := r.lifecycle.transition(f)
			r.log.Log(r.ctx, slog.LevelInfo, "console", "call", what, "yes", yes, "why", why)
			return yes, why
		}
	}
	return console.Handlers{
		Ready: func() (bool, string) {
			return r.lifecycle.transition(func(m *lifecycle.Machine) (lifecycle.Answer, lifecycle.Action) { return m.Ready(), lifecycle.NoAction })
		},
		Drain:   told("drain", (*lifecycle.Machine).StartDrain),
		Undrain: told("undrain", (*lifecycle.Machine).EndDrain),
		Stats:   r.appendStats,
	}
}

// appendStats writes all figures; those of TLS where there is a rule for it.
func (r *Relay) appendStats(to []byte) []byte {
	to = r.board.AppendTo(to)
	p := r.consoleTLSPeers.Load()
	if p == nil {
		return to
	}
	line := func(name string, v int64, kind string) {
		to = fmt.Appendf(to, "%stls_%s:%d|%s\n", console.MetricPrefix, name, v, kind)
	}
	c := p.Counts()
	line("full", c.Full, "c")
	line("resumed", c.Resumed, "c")
	line("refused", c.Rejected, "c")
	line("broken", c.Inconclusive, "c")
	line("out", int64(c.RejectedEndpoints), "g")
	p.DaysLeft(func(name string, days float64) { line("days."+name, int64(math.Floor(days)), "g") })
	return to
}

// updateBoard puts up what the core has counted.
func (r *Relay) updateBoard() {
	for i, e := range r.core.CountsByClass() {
		r.board.SetOutcomes(i, console.Outcomes(e))
	}
	r.board.Pending.Store(int64(r.core.HeldMessages()))
	if now := time.Now(); now.Sub(r.endpointStatsAt) >= endpointStatsInterval {
		r.endpointStatsAt = now
		listed, avoided := r.core.ListedEndpoints()
		r.board.Endpoints.Store(int64(listed))
		r.board.UnhealthyEndpoints.Store(int64(avoided))
	}
}

func classNames(cfg *config.Config) []string {
	names := make([]string, len(cfg.Policy.Classes))
	for name, i := range cfg.Classes {
		names[i] = name
	}
	return names
}
