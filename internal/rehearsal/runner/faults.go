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

// action is something that happens in the course of a rehearsal.
type action struct {
	at  event.Time
	run func()
}

// playFaults has them begin and end.
func (s *Rehearsal) playFaults(ctx context.Context) {
	var all []action
	for i := range s.plan.Faults {
		all = append(all, s.faultActions(ctx, &s.plan.Faults[i])...)
	}
	slices.SortStableFunc(all, func(a, b action) int { return int(a.at - b.at) })
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for _, m := range all {
		timer.Reset(time.Duration(s.planStart.Load()+m.at-s.now()) * time.Microsecond)
		select {
		case <-timer.C:
			m.run()
		case <-ctx.Done():
			return
		}
	}
}

// addActiveFault counts what holds now, for those who watch.
func (s *Rehearsal) addActiveFault(what string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeFaults[what] += n; s.activeFaults[what] <= 0 {
		delete(s.activeFaults, what)
	}
}

// plannedFault is one fault of the plan as it is played.
type plannedFault struct {
	*Rehearsal
	*scenario.PlannedFault
	ctx  context.Context
	name string // for those who watch
}

// faultActions returns what a fault does, and when.
func (s *Rehearsal) faultActions(ctx context.Context, f *scenario.PlannedFault) []action {
	name := f.Kind
	if len(f.Endpoints) > 0 {
		name += " " + s.plan.Specs[s.plan.Endpoints[f.Endpoints[0]].Partner].Name
	}
	x := &plannedFault{Rehearsal: s, PlannedFault: f, ctx: ctx, name: name}
	switch f.Kind {
	case scenario.EndpointDrain, scenario.EndpointRemoval:
		return s.listPhaseActions(f, name)
	case scenario.ListDelayed, scenario.ListStale, scenario.ListSilent:
		return x.listActions()
	case scenario.RelayKill:
		return x.onProcesses(x.killRelay)
	case scenario.RelayRestart:
		return x.onProcesses(x.restartRelay)
	case scenario.RelayUpgrade:
		return x.onProcesses(func(r *relay) { s.upgrade(ctx, r, f) })
	case scenario.RelayDrain:
		return x.lasting(x.drainRelay(true), x.drainRelay(false))
	case scenario.RelayReload:
		return x.onProcesses(x.reload)
	}
	switch {
	case strings.HasPrefix(f.Kind, "flood_"):
		return x.floodActions()
	case strings.HasPrefix(f.Kind, "tls_"):
		return x.lasting(s.identities.replacement(f.Kind, f.Endpoints))
	}
	return x.endpointActions()
}

// lasting is a fault that lasts.
func (f *plannedFault) lasting(begin, end func()) []action {
	return []action{
		{f.At, func() { f.addActiveFault(f.name, 1); begin() }},
		{f.Until, func() { end(); f.addActiveFault(f.name, -1) }},
	}
}

// forEachRelay does something to each relay that the fault is about.
func (f *plannedFault) forEachRelay(do func(relay int)) func() {
	return func() {
		for _, r := range f.Relays {
			do(r)
		}
	}
}

// onProcesses does something to the processes of relays, beside all else that happens.
func (f *plannedFault) onProcesses(do func(r *relay)) []action {
	return []action{{f.At, f.forEachRelay(func(i int) {
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			f.addActiveFault(fmt.Sprintf("%s %d", f.Kind, i+1), 1)
			defer f.addActiveFault(fmt.Sprintf("%s %d", f.Kind, i+1), -1)
			r := f.relays[i]
			r.mu.Lock()
			defer r.mu.Unlock()
			if f.targets[i].StartProcess {
				do(r)
			}
		}()
	})}}
}

// listActions has lists come late, stay old, or not come.
func (f *plannedFault) listActions() []action {
	more := time.Duration(f.Magnitude * float64(time.Second))
	set := func(on bool) func() {
		return f.forEachRelay(func(i int) {
			switch f.Kind {
			case scenario.ListDelayed:
				f.registry.SetExtraDelay(i, more, on)
			case scenario.ListStale:
				f.registry.SetStale(i, on)
			case scenario.ListSilent:
				f.registry.SetSilent(i, on)
			}
		})
	}
	return f.lasting(set(true), set(false))
}

func (f *plannedFault) killRelay(r *relay) {
	f.driver.RelayDown(r.index, scenario.Microseconds(f.plan.Scenario.Clients.FailoverDelayMS))
	f.events.emit(event.Event{At: f.now(), Kind: event.Killed, Relay: r.index})
	r.kill()
	f.sleep(f.ctx, time.Duration(f.Until-f.At)*time.Microsecond)
	f.startAgain(f.ctx, r)
}

func (f *plannedFault) restartRelay(r *relay) {
	// New connections go on coming for a while.
	f.driver.RelayDown(r.index, 300_000)
	f.events.emit(event.Event{At: f.now(), Kind: event.Stopping, Relay: r.index})
	if r.stop() {
		f.appendFailure(
			&f.kitErrors,
			"relay %d was still there %v after SIGTERM and was killed",
			r.index+1,
			stopTimeout,
		)
	}
	f.events.emit(event.Event{At: f.now(), Kind: event.Killed, Relay: r.index})
	f.startAgain(f.ctx, r)
}

// drainRelay calls the consoles of relays.
func (f *plannedFault) drainRelay(on bool) func() {
	command := "UNDRAIN"
	if on {
		command = "DRAIN"
	}
	return f.forEachRelay(func(i int) {
		r := f.relays[i]
		r.mu.Lock()
		defer r.mu.Unlock()
		if !f.targets[i].StartProcess {
			return
		}
		if !callConsole(r.current.consoleAddr, command) {
			f.appendFailure(&f.relayFailures, "relay %d: its console said no to %s", i+1, command)
		}
		if on { // the front sees that it says no to PING
			f.driver.RelayDown(i, 200_000)
		} else {
			f.driver.RelayUp(i)
		}
	})
}

// reload moves a relay's discovery and has it read its configuration again.
func (f *plannedFault) reload(r *relay) {
	if _, err := f.registry.ChangeAddress(r.index); err != nil {
		f.appendFailure(&f.kitErrors, "%v", err)
		return
	}
	if err := r.writeConfig(); err != nil {
		f.appendFailure(&f.kitErrors, "%v", err)
		return
	}
	r.reload()
}

// floodActions has bad clients come to relays.
func (f *plannedFault) floodActions() []action {
	ctx, end := context.WithCancel(f.ctx)
	begin := f.forEachRelay(func(i int) {
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			loadgen.Flood(ctx, loadgen.FloodKind(f.Kind), f.targets[i].Listen, int(f.Magnitude))
		}()
	})
	return f.lasting(begin, end)
}

// endpointActions has a fault of the model's begin and end.
func (f *plannedFault) endpointActions() []action {
	fault := &endpoint.Fault{
		Kind: endpoint.FaultKind(
			f.Kind,
		),
		Magnitude: f.Magnitude,
		Share:     f.Share,
		Class:     f.Class,
		Defect:    endpoint.ResponseDefect(f.Variant),
	}
	each := func(do func(w *endpoint.Model, now endpoint.Time, ep int)) func() {
		return func() {
			f.endpointServer.Update(func(w *endpoint.Model, now endpoint.Time) {
				for _, ep := range f.Endpoints {
					do(w, now, ep)
				}
			})
		}
	}
	return f.lasting(
		each(func(w *endpoint.Model, now endpoint.Time, ep int) { w.InjectFault(now, ep, fault) }),
		each(func(w *endpoint.Model, now endpoint.Time, ep int) { w.ClearFault(now, ep, fault) }),
	)
}

func (s *Rehearsal) listPhaseActions(f *scenario.PlannedFault, name string) []action {
	phase := registry.PhaseDraining
	if f.Kind == scenario.EndpointRemoval {
		phase = registry.PhaseRemoved
	}
	sc := s.plan.Scenario
	shut := f.At + scenario.Microseconds(
		sc.Discovery.DelayMS+sc.Discovery.SpreadMS+sc.Rules.DrainGraceMS+sc.Rules.SlackMS,
	)
	gone := &endpoint.Fault{Kind: endpoint.PlannedStop}
	set := func(phase registry.Phase) {
		for _, ep := range f.Endpoints {
			s.registry.SetPhase(ep, phase)
		}
	}
	world := func(on bool) func() {
		return func() {
			s.endpointServer.Update(func(w *endpoint.Model, now endpoint.Time) {
				for _, ep := range f.Endpoints {
					switch {
					case f.Kind == scenario.EndpointDrain:
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
	all := []action{{f.At, func() { s.addActiveFault(name, 1); set(phase) }}}
	if shut < f.Until {
		all = append(all, action{shut, world(true)}, action{f.Until, world(false)})
	}
	return append(all, action{f.Until, func() { set(registry.PhaseUp); s.addActiveFault(name, -1) }})
}

func (s *Rehearsal) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// again starts a relay once more. The caller holds its lock.
// upgrade plays one upgrade of a relay.
func (s *Rehearsal) upgrade(ctx context.Context, r *relay, f *scenario.PlannedFault) {
	if f.Variant == "" {
		if err := r.upgrade(ctx); err != nil && ctx.Err() == nil {
			s.appendFailure(&s.relayFailures, "upgrade: %v", err)
		}
		return
	}
	after := time.Duration(
		seededrand.Hash(s.plan.Seed, 900, uint64(f.At), uint64(r.index)) % uint64(maxUpgradeKillDelay),
	)
	s.events.emit(
		event.Event{At: s.now(), Kind: event.Killed, Relay: r.index},
	) // calls that are out may be cut from here on
	alive, err := r.upgradeWithKill(ctx, after, f.Variant == scenario.KillPredecessor)
	switch {
	case err != nil && ctx.Err() == nil:
		s.appendFailure(&s.relayFailures, "upgrade, %s after %v: %v", f.Variant, after, err)
	case alive:
		s.events.emit(event.Event{At: s.now(), Kind: event.Ready, Relay: r.index})
	default:
		s.driver.RelayDown(r.index, scenario.Microseconds(s.plan.Scenario.Clients.FailoverDelayMS))
		s.events.emit(event.Event{At: s.now(), Kind: event.Killed, Relay: r.index})
		s.startAgain(ctx, r)
	}
}

const maxUpgradeKillDelay = 80 * time.Millisecond // by then a new process has taken over

func (s *Rehearsal) startAgain(ctx context.Context, r *relay) {
	if ctx.Err() != nil {
		return
	}
	if err := r.start(ctx); err != nil {
		if ctx.Err() == nil {
			s.appendFailure(&s.relayFailures, "%v", err)
		}
		return
	}
	s.events.emit(event.Event{At: s.now(), Kind: event.Ready, Relay: r.index})
	s.driver.RelayUp(r.index)
}

func (s *Rehearsal) currentProgress() Progress {
	x := Progress{
		Elapsed: time.Duration(s.now()-s.planStart.Load()) * time.Microsecond,
		Total:   time.Duration(s.plan.Scenario.LengthS * float64(time.Second)),
	}
	x.Submitted, x.Pending = s.driver.Progress()
	s.events.mu.Lock()
	x.Violations = len(s.events.checker.Violations())
	s.events.mu.Unlock()
	s.mu.Lock()
	for name := range s.activeFaults {
		x.ActiveFaults = append(x.ActiveFaults, name)
	}
	s.mu.Unlock()
	slices.Sort(x.ActiveFaults)
	return x
}
