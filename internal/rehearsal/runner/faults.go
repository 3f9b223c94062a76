package runner

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/rehearsal/event"
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

func (s *Stage) moments(ctx context.Context, f *scenario.PlannedFault) []moment {
	name := f.Kind
	if len(f.Endpoints) > 0 {
		name += " " + s.plan.Specs[s.plan.Endpoints[f.Endpoints[0]].Partner].Name
	}
	span := func(begin, end func()) []moment {
		return []moment{{f.At, func() { s.holds(name, 1); begin() }}, {f.Until, func() { end(); s.holds(name, -1) }}}
	}
	relays := func(do func(relay int)) func() {
		return func() {
			for _, r := range f.Relays {
				do(r)
			}
		}
	}
	process := func(do func(r *relay)) []moment {
		return []moment{{f.At, relays(func(i int) {
			s.jobs.Add(1)
			go func() {
				defer s.jobs.Done()
				s.holds(fmt.Sprintf("%s %d", f.Kind, i+1), 1)
				defer s.holds(fmt.Sprintf("%s %d", f.Kind, i+1), -1)
				r := s.relays[i]
				r.mu.Lock()
				defer r.mu.Unlock()
				if s.agents[i].Process {
					do(r)
				}
			}()
		})}}
	}
	switch f.Kind {
	case scenario.Drain, scenario.Remove:
		return s.leaving(f, name)
	case scenario.ListLate:
		more := time.Duration(f.Size * float64(time.Second))
		return span(
			relays(func(i int) { s.reg.Late(i, more, true) }), relays(func(i int) { s.reg.Late(i, more, false) }),
		)
	case scenario.ListStale:
		return span(relays(func(i int) { s.reg.Stale(i, true) }), relays(func(i int) { s.reg.Stale(i, false) }))
	case scenario.ListSilent:
		return span(relays(func(i int) { s.reg.Silence(i, true) }), relays(func(i int) { s.reg.Silence(i, false) }))
	case scenario.RelayKill:
		return process(func(r *relay) {
			s.driver.Down(r.num, scenario.Micros(s.plan.Scenario.Clients.FrontNoticeMS))
			s.hub.emit(event.Event{At: s.now(), Kind: event.Killed, Relay: r.num})
			r.kill()
			s.pause(ctx, time.Duration(f.Until-f.At)*time.Microsecond)
			s.again(ctx, r)
		})
	case scenario.RelayRestart:
		return process(func(r *relay) {
			// New connections go on coming for a while.
			s.driver.Down(r.num, 300_000)
			s.hub.emit(event.Event{At: s.now(), Kind: event.Stopping, Relay: r.num})
			if r.stop() {
				s.say(&s.trouble, "relay %d was still there %v after SIGTERM and was killed", r.num+1, stopWait)
			}
			s.hub.emit(event.Event{At: s.now(), Kind: event.Killed, Relay: r.num})
			s.again(ctx, r)
		})
	case scenario.Upgrade:
		return process(func(r *relay) { s.upgrade(ctx, r, f) })
	case scenario.DrainRelay:
		drain := func(on bool) func() {
			what := "UNDRAIN"
			if on {
				what = "DRAIN"
			}
			return relays(func(i int) {
				r := s.relays[i]
				r.mu.Lock()
				defer r.mu.Unlock()
				if !s.agents[i].Process {
					return
				}
				if !call(r.now.console, what) {
					s.say(&s.crashes, "relay %d: its console said no to %s", i+1, what)
				}
				if on { // the front sees that it says no to PING
					s.driver.Down(i, 200_000)
				} else {
					s.driver.Up(i)
				}
			})
		}
		return span(drain(true), drain(false))
	case scenario.Reload:
		return process(func(r *relay) {
			if _, err := s.reg.Move(r.num); err != nil {
				s.say(&s.trouble, "%v", err)
				return
			}
			if err := r.configure(); err != nil {
				s.say(&s.trouble, "%v", err)
				return
			}
			r.hup()
		})
	}
	if kind := loadgen.FloodKind(f.Kind); strings.HasPrefix(f.Kind, "flood_") {
		flood, over := context.WithCancel(ctx)
		return span(relays(func(i int) {
			s.jobs.Add(1)
			go func() {
				defer s.jobs.Done()
				loadgen.Flood(flood, kind, s.agents[i].Listen, int(f.Size))
			}()
		}), over)
	}
	if strings.HasPrefix(f.Kind, "tls_") {
		return span(s.secrets.fault(f.Kind, f.Endpoints))
	}
	fault := &endpoint.Fault{
		Kind: endpoint.FaultKind(f.Kind), Size: f.Size, Share: f.Share, Class: f.Class, Form: endpoint.Form(f.Form),
	}
	return span(func() {
		s.world.Do(func(w *endpoint.World, now endpoint.Time) {
			for _, ep := range f.Endpoints {
				w.Begin(now, ep, fault)
			}
		})
	}, func() {
		s.world.Do(func(w *endpoint.World, now endpoint.Time) {
			for _, ep := range f.Endpoints {
				w.End(now, ep, fault)
			}
		})
	})
}

// leaving has endpoints drain or go: the list says so first, and only once
// every relay was told in time and has had its grace do they refuse work.
func (s *Stage) leaving(f *scenario.PlannedFault, name string) []moment {
	phase := registry.Draining
	if f.Kind == scenario.Remove {
		phase = registry.Removed
	}
	sc := s.plan.Scenario
	shut := f.At + scenario.Micros(sc.Discovery.DelayMS+sc.Discovery.SpreadMS+sc.Rules.DrainGraceMS+sc.Rules.SlackMS)
	gone := &endpoint.Fault{Kind: endpoint.Gone}
	set := func(phase string) {
		for _, ep := range f.Endpoints {
			s.reg.Set(ep, phase)
		}
	}
	world := func(on bool) func() {
		return func() {
			s.world.Do(func(w *endpoint.World, now endpoint.Time) {
				for _, ep := range f.Endpoints {
					switch {
					case f.Kind == scenario.Drain:
						w.Drain(now, ep, on)
					case on:
						w.Begin(now, ep, gone)
					default:
						w.End(now, ep, gone)
					}
				}
			})
		}
	}
	all := []moment{{f.At, func() { s.holds(name, 1); set(phase) }}}
	if shut < f.Until {
		all = append(all, moment{shut, world(true)}, moment{f.Until, world(false)})
	}
	return append(all, moment{f.Until, func() { set(registry.Up); s.holds(name, -1) }})
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
