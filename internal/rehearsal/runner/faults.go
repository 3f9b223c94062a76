package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/loadgen"
	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/seededrand"
)

// moment is something that happens in the course of a rehearsal.
type moment struct {
	at event.Time
	do func()
}

// faults has them begin and end.
func (s *Stage) faults(ctx context.Context) {
	var all []moment
	for i := range s.plan.Faults {
		all = append(all, s.moments(ctx, &s.plan.Faults[i])...)
	}
	slices.SortStableFunc(all, func(a, b moment) int { return int(a.at - b.at) })
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for _, m := range all {
		timer.Reset(time.Duration(s.start.Load()+m.at-s.now()) * time.Microsecond)
		select {
		case <-timer.C:
			m.do()
		case <-ctx.Done():
			return
		}
	}
}

// holds counts what holds now, for those who watch.
func (s *Stage) holds(what string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holding[what] += n; s.holding[what] <= 0 {
		delete(s.holding, what)
	}
}

// plannedFault is one fault of the plan as it is played.
type plannedFault struct {
	*Stage
	*scenario.PlannedFault
	ctx  context.Context
	name string // for those who watch
}

// moments returns what a fault does, and when.
func (s *Stage) moments(ctx context.Context, f *scenario.PlannedFault) []moment {
	name := f.Kind
	if len(f.Endpoints) > 0 {
		name += " " + s.plan.Specs[s.plan.Endpoints[f.Endpoints[0]].Partner].Name
	}
	x := &plannedFault{Stage: s, PlannedFault: f, ctx: ctx, name: name}
	switch f.Kind {
	case scenario.Drain, scenario.Remove:
		return s.leaving(f, name)
	case scenario.ListLate, scenario.ListStale, scenario.ListSilent:
		return x.discovery()
	case scenario.RelayKill:
		return x.process(x.killRelay)
	case scenario.RelayRestart:
		return x.process(x.restartRelay)
	case scenario.Upgrade:
		return x.process(func(r *relay) { s.upgrade(ctx, r, f) })
	case scenario.DrainRelay:
		return x.span(x.drainRelay(true), x.drainRelay(false))
	case scenario.Reload:
		return x.process(x.reload)
	}
	switch {
	case strings.HasPrefix(f.Kind, "flood_"):
		return x.flood()
	case strings.HasPrefix(f.Kind, "tls_"):
		return x.span(s.secrets.fault(f.Kind, f.Endpoints))
	}
	return x.endpoints()
}

// span is a fault that lasts.
func (f *plannedFault) span(begin, end func()) []moment {
	return []moment{
		{f.At, func() { f.holds(f.name, 1); begin() }},
		{f.Until, func() { end(); f.holds(f.name, -1) }},
	}
}

// relays does something to each relay that the fault is about.
func (f *plannedFault) relays(do func(relay int)) func() {
	return func() {
		for _, r := range f.Relays {
			do(r)
		}
	}
}

// process does something to the processes of relays, beside all else that happens.
func (f *plannedFault) process(do func(r *relay)) []moment {
	return []moment{{f.At, f.relays(func(i int) {
		f.jobs.Add(1)
		go func() {
			defer f.jobs.Done()
			f.holds(fmt.Sprintf("%s %d", f.Kind, i+1), 1)
			defer f.holds(fmt.Sprintf("%s %d", f.Kind, i+1), -1)
			r := f.Stage.relays[i]
			r.mu.Lock()
			defer r.mu.Unlock()
			if f.agents[i].Process {
				do(r)
			}
		}()
	})}}
}

// discovery has lists come late, stay old, or not come.
func (f *plannedFault) discovery() []moment {
	more := time.Duration(f.Size * float64(time.Second))
	set := func(on bool) func() {
		return f.relays(func(i int) {
			switch f.Kind {
			case scenario.ListLate:
				f.reg.SetExtraDelay(i, more, on)
			case scenario.ListStale:
				f.reg.SetStale(i, on)
			case scenario.ListSilent:
				f.reg.SetSilent(i, on)
			}
		})
	}
	return f.span(set(true), set(false))
}

func (f *plannedFault) killRelay(r *relay) {
	f.driver.Down(r.num, scenario.Micros(f.plan.Scenario.Clients.FrontNoticeMS))
	f.hub.emit(event.Event{At: f.now(), Kind: event.Killed, Relay: r.num})
	r.kill()
	f.pause(f.ctx, time.Duration(f.Until-f.At)*time.Microsecond)
	f.again(f.ctx, r)
}

func (f *plannedFault) restartRelay(r *relay) {
	// New connections go on coming for a while.
	f.driver.Down(r.num, 300_000)
	f.hub.emit(event.Event{At: f.now(), Kind: event.Stopping, Relay: r.num})
	if r.stop() {
		f.say(&f.trouble, "relay %d was still there %v after SIGTERM and was killed", r.num+1, stopWait)
	}
	f.hub.emit(event.Event{At: f.now(), Kind: event.Killed, Relay: r.num})
	f.again(f.ctx, r)
}

// drainRelay calls the consoles of relays.
func (f *plannedFault) drainRelay(on bool) func() {
	command := "UNDRAIN"
	if on {
		command = "DRAIN"
	}
	return f.relays(func(i int) {
		r := f.Stage.relays[i]
		r.mu.Lock()
		defer r.mu.Unlock()
		if !f.agents[i].Process {
			return
		}
		if !call(r.now.console, command) {
			f.say(&f.crashes, "relay %d: its console said no to %s", i+1, command)
		}
		if on { // the front sees that it says no to PING
			f.driver.Down(i, 200_000)
		} else {
			f.driver.Up(i)
		}
	})
}

// reload moves a relay's discovery and has it read its configuration again.
func (f *plannedFault) reload(r *relay) {
	if _, err := f.reg.ChangeAddress(r.num); err != nil {
		f.say(&f.trouble, "%v", err)
		return
	}
	if err := r.configure(); err != nil {
		f.say(&f.trouble, "%v", err)
		return
	}
	r.hup()
}

// flood has bad clients come to relays.
func (f *plannedFault) flood() []moment {
	ctx, end := context.WithCancel(f.ctx)
	begin := f.relays(func(i int) {
		f.jobs.Add(1)
		go func() {
			defer f.jobs.Done()
			loadgen.Flood(ctx, loadgen.FloodKind(f.Kind), f.agents[i].Listen, int(f.Size))
		}()
	})
	return f.span(begin, end)
}

// endpoints has a fault of the model's begin and end.
func (f *plannedFault) endpoints() []moment {
	fault := &endpoint.Fault{
		Kind: endpoint.FaultKind(
			f.Kind,
		),
		Magnitude: f.Size,
		Share:     f.Share,
		Class:     f.Class,
		Defect:    endpoint.ResponseDefect(f.Form),
	}
	each := func(do func(w *endpoint.Model, now endpoint.Time, ep int)) func() {
		return func() {
			f.world.Update(func(w *endpoint.Model, now endpoint.Time) {
				for _, ep := range f.Endpoints {
					do(w, now, ep)
				}
			})
		}
	}
	return f.span(
		each(func(w *endpoint.Model, now endpoint.Time, ep int) { w.InjectFault(now, ep, fault) }),
		each(func(w *endpoint.Model, now endpoint.Time, ep int) { w.ClearFault(now, ep, fault) }),
	)
}

func (s *Stage) leaving(f *scenario.PlannedFault, name string) []moment {
	phase := registry.PhaseDraining
	if f.Kind == scenario.Remove {
		phase = registry.PhaseRemoved
	}
	sc := s.plan.Scenario
	shut := f.At + scenario.Micros(sc.Discovery.DelayMS+sc.Discovery.SpreadMS+sc.Rules.DrainGraceMS+sc.Rules.SlackMS)
	gone := &endpoint.Fault{Kind: endpoint.PlannedStop}
	set := func(phase string) {
		for _, ep := range f.Endpoints {
			s.reg.SetPhase(ep, phase)
		}
	}
	world := func(on bool) func() {
		return func() {
			s.world.Update(func(w *endpoint.Model, now endpoint.Time) {
				for _, ep := range f.Endpoints {
					switch {
					case f.Kind == scenario.Drain:
						w.SetDraining(now, ep, on)
					case on:
						w.InjectFault(now, ep, gone)
					default:
						w.ClearFault(now, ep, gone)
					}
				}
			})
		}
	}
	all := []moment{{f.At, func() { s.holds(name, 1); set(phase) }}}
	if shut < f.Until {
		all = append(all, moment{shut, world(true)}, moment{f.Until, world(false)})
	}
	return append(all, moment{f.Until, func() { set(registry.PhaseUp); s.holds(name, -1) }})
}

func (s *Stage) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// again starts a relay once more. The caller holds its lock.
// upgrade plays one upgrade of a relay.
func (s *Stage) upgrade(ctx context.Context, r *relay, f *scenario.PlannedFault) {
	if f.Form == "" {
		if err := r.upgrade(ctx); err != nil && ctx.Err() == nil {
			s.say(&s.crashes, "upgrade: %v", err)
		}
		return
	}
	after := time.Duration(seededrand.Hash(s.plan.Seed, 900, uint64(f.At), uint64(r.num)) % uint64(upgradeCutMost))
	s.hub.emit(event.Event{At: s.now(), Kind: event.Killed, Relay: r.num}) // calls that are out may be cut from here on
	alive, err := r.upgradeCut(ctx, after, f.Form == scenario.KillOld)
	switch {
	case err != nil && ctx.Err() == nil:
		s.say(&s.crashes, "upgrade, %s after %v: %v", f.Form, after, err)
	case alive:
		s.hub.emit(event.Event{At: s.now(), Kind: event.Ready, Relay: r.num})
	default:
		s.driver.Down(r.num, scenario.Micros(s.plan.Scenario.Clients.FrontNoticeMS))
		s.hub.emit(event.Event{At: s.now(), Kind: event.Killed, Relay: r.num})
		s.again(ctx, r)
	}
}

const upgradeCutMost = 80 * time.Millisecond // by then a new process has taken over

func (s *Stage) again(ctx context.Context, r *relay) {
	if ctx.Err() != nil {
		return
	}
	if err := r.start(ctx); err != nil {
		if ctx.Err() == nil {
			s.say(&s.crashes, "%v", err)
		}
		return
	}
	s.hub.emit(event.Event{At: s.now(), Kind: event.Ready, Relay: r.num})
	s.driver.Up(r.num)
}

func (s *Stage) far() Progress {
	x := Progress{
		At: time.Duration(s.now()-s.start.Load()) * time.Microsecond,
		Of: time.Duration(s.plan.Scenario.LengthS * float64(time.Second)),
	}
	x.Begun, x.Open = s.driver.Open()
	s.hub.mu.Lock()
	x.Violations = len(s.hub.judge.Violations())
	s.hub.mu.Unlock()
	s.mu.Lock()
	for name := range s.holding {
		x.Faults = append(x.Faults, name)
	}
	s.mu.Unlock()
	slices.Sort(x.Faults)
	return x
}
