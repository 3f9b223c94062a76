package relay

import (
	"fmt"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"troutusher/internal/console"
	"troutusher/internal/duty"
	"troutusher/internal/front"
)

// What operators call and see. Nothing here waits for the loop: a drain goes
// straight to the front, and figures are read where the loop put them.

// boardWait is how old the figures of endpoints may be. The others are put up
// with each step.
const boardWait = 200 * time.Millisecond

// duties is the duty of this process, for several goroutines.
type duties struct {
	mu      sync.Mutex
	m       duty.Machine
	front   *front.Server
	clients atomic.Bool // new clients are wanted
}

// move makes one move and carries out what it asks for.
func (d *duties) move(f func(m *duty.Machine) (duty.Answer, duty.Do)) (bool, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, do := f(&d.m)
	d.clients.Store(d.m.Clients())
	switch {
	case d.front == nil:
	case do == duty.LetGo:
		d.front.CloseIdleConns()
	case do == duty.TakeBack:
		d.front.KeepIdleConns()
	}
	return a.Yes, a.Why
}

// open is told when clients can be served.
func (d *duties) open(f *front.Server) {
	d.move(func(m *duty.Machine) (duty.Answer, duty.Do) {
		d.front = f
		return duty.Answer{}, m.Serve()
	})
}

func (d *duties) stop() {
	d.move(func(m *duty.Machine) (duty.Answer, duty.Do) { return duty.Answer{}, m.Stop() })
}

// calls are what the console may call.
func (r *Relay) calls() console.Handlers {
	told := func(what string, f func(m *duty.Machine) (duty.Answer, duty.Do)) func() (bool, string) {
		return func() (bool, string) {
			yes, why := r.duty.move(f)
			r.log.Log(r.ctx, slog.LevelInfo, "console", "call", what, "yes", yes, "why", why)
			return yes, why
		}
	}
	return console.Handlers{
		Ready: func() (bool, string) {
			return r.duty.move(func(m *duty.Machine) (duty.Answer, duty.Do) { return m.Ready(), duty.Nothing })
		},
		Drain:   told("drain", (*duty.Machine).Drain),
		Undrain: told("undrain", (*duty.Machine).Undrain),
		Stats:   r.stats,
	}
}

// stats writes all figures; those of TLS where there is a rule for it.
func (r *Relay) stats(to []byte) []byte {
	to = r.board.AppendTo(to)
	p := r.shown.Load()
	if p == nil {
		return to
	}
	line := func(name string, v int64, kind string) {
		to = fmt.Appendf(to, "%stls_%s:%d|%s\n", console.MetricPrefix, name, v, kind)
	}
	c := p.Counts()
	line("full", c.Full, "c")
	line("resumed", c.Resumed, "c")
	line("refused", c.Refused, "c")
	line("broken", c.Broken, "c")
	line("out", int64(c.Out), "g")
	p.Days(func(name string, days float64) { line("days."+name, int64(math.Floor(days)), "g") })
	return to
}

// show puts up what the core has counted.
func (r *Relay) show() {
	for i, e := range r.core.CountsByClass() {
		r.board.SetOutcomes(i, console.Outcomes(e))
	}
	r.board.Pending.Store(int64(r.core.HeldMessages()))
	if now := time.Now(); now.Sub(r.seen) >= boardWait {
		r.seen = now
		listed, avoided := r.core.ListedEndpoints()
		r.board.Endpoints.Store(int64(listed))
		r.board.UnhealthyEndpoints.Store(int64(avoided))
	}
}

func classNames(cfg *Config) []string {
	names := make([]string, len(cfg.Policy.Classes))
	for name, i := range cfg.classes {
		names[i] = name
	}
	return names
}
