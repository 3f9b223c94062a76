package runner

import (
	"context"
	"slices"
	"strings"
	"time"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/loadgen"
	"troutusher/internal/rehearsal/scenario"
)

// action is a function that runs at a time after the plan's start.
type action struct {
	at  event.Time
	run func()
}

// playFaults begins and ends the plan's faults at their times.
func (r *Rehearsal) playFaults(ctx context.Context) {
	var actions []action
	for i := range r.plan.Faults {
		actions = append(actions, r.faultActions(ctx, &r.plan.Faults[i])...)
	}
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.at - b.at) })
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for _, action := range actions {
		timer.Reset(time.Duration(r.planStart.Load()+action.at-r.now()) * time.Microsecond)
		select {
		case <-timer.C:
			action.run()
		case <-ctx.Done():
			return
		}
	}
}

// plannedFault is one fault of the plan during a rehearsal.
type plannedFault struct {
	*Rehearsal
	*scenario.PlannedFault
	ctx  context.Context // ends with the rehearsal's run
	name string          // shown in progress reports
}

// faultActions returns the actions that begin and end a fault.
func (r *Rehearsal) faultActions(ctx context.Context, planned *scenario.PlannedFault) []action {
	name := planned.Kind
	if len(planned.Endpoints) > 0 {
		name += " " + r.plan.Specs[r.plan.Endpoints[planned.Endpoints[0]].Partner].Name
	}
	f := &plannedFault{Rehearsal: r, PlannedFault: planned, ctx: ctx, name: name}
	switch f.Kind {
	case scenario.EndpointDrain, scenario.EndpointRemoval:
		return f.phaseActions()
	case scenario.ListDelayed, scenario.ListStale, scenario.ListSilent:
		return f.listActions()
	case scenario.RelayKill:
		return f.processActions(f.killRelay)
	case scenario.RelayRestart:
		return f.processActions(f.restartRelay)
	case scenario.RelayUpgrade:
		return f.processActions(f.upgradeRelay)
	case scenario.RelayDrain:
		return f.intervalActions(f.drainRelays(true), f.drainRelays(false))
	case scenario.RelayReload:
		return f.processActions(f.reloadRelay)
	case scenario.RelaySignals:
		return f.processActions(f.sendSignals)
	}
	switch {
	case strings.HasPrefix(f.Kind, "flood_"):
		return f.floodActions()
	case strings.HasPrefix(f.Kind, "tls_"):
		return f.intervalActions(r.identities.replacement(f.Kind, f.Endpoints))
	}
	return f.endpointActions()
}

// intervalActions returns the actions of a fault that is active from At to Until.
func (f *plannedFault) intervalActions(begin, end func()) []action {
	return []action{
		{f.At, func() { f.addActiveFault(f.name, 1); begin() }},
		{f.Until, func() { end(); f.addActiveFault(f.name, -1) }},
	}
}

// forEachRelay returns a function that calls do for each affected relay.
func (f *plannedFault) forEachRelay(do func(relay int)) func() {
	return func() {
		for _, relay := range f.Relays {
			do(relay)
		}
	}
}

// forEachEndpoint returns a function that calls do for each affected endpoint, with the model of the
// endpoint emulator locked.
func (f *plannedFault) forEachEndpoint(do func(model *endpoint.Model, now endpoint.Time, index int)) func() {
	return func() {
		f.endpointServer.Update(func(model *endpoint.Model, now endpoint.Time) {
			for _, index := range f.Endpoints {
				do(model, now, index)
			}
		})
	}
}

// listActions returns the actions of a fault that delays endpoint lists, keeps them stale or stops
// them.
func (f *plannedFault) listActions() []action {
	extraDelay := time.Duration(f.Magnitude * float64(time.Second))
	set := func(on bool) func() {
		return f.forEachRelay(func(relay int) {
			switch f.Kind {
			case scenario.ListDelayed:
				f.registry.SetExtraDelay(relay, extraDelay, on)
			case scenario.ListStale:
				f.registry.SetStale(relay, on)
			case scenario.ListSilent:
				f.registry.SetSilent(relay, on)
			}
		})
	}
	return f.intervalActions(set(true), set(false))
}

// floodActions returns the actions of a flood: connections to relays that are not legitimate
// clients.
func (f *plannedFault) floodActions() []action {
	ctx, end := context.WithCancel(f.ctx)
	begin := f.forEachRelay(func(relay int) {
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			loadgen.Flood(ctx, loadgen.FloodKind(f.Kind), f.targets[relay].Listen, int(f.Magnitude))
		}()
	})
	return f.intervalActions(begin, end)
}

// endpointActions returns the actions of a fault that the endpoint emulator implements.
func (f *plannedFault) endpointActions() []action {
	fault := &endpoint.Fault{
		Kind: endpoint.FaultKind(f.Kind), Magnitude: f.Magnitude, Share: f.Share, Class: f.Class,
		Defect: endpoint.ResponseDefect(f.Variant),
	}
	return f.intervalActions(f.injection(fault))
}

// injection returns functions that inject a fault of the emulator into the affected endpoints and
// clear it.
func (f *plannedFault) injection(fault *endpoint.Fault) (begin, end func()) {
	begin = f.forEachEndpoint(func(model *endpoint.Model, now endpoint.Time, index int) {
		model.InjectFault(now, index, fault)
	})
	end = f.forEachEndpoint(func(model *endpoint.Model, now endpoint.Time, index int) {
		model.ClearFault(now, index, fault)
	})
	return begin, end
}

// phaseActions returns the actions of a fault that marks endpoints in the endpoint list as draining or
// removed. Relays may still call such an endpoint until the list has reached them and the drain grace
// has passed. If the fault lasts longer than that, the endpoints then stop serving: draining ones
// reject calls, and removed ones refuse connections.
func (f *plannedFault) phaseActions() []action {
	phase, stopServing, serveAgain := registry.PhaseDraining, f.setDraining(true), f.setDraining(false)
	if f.Kind == scenario.EndpointRemoval {
		phase = registry.PhaseRemoved
		stopServing, serveAgain = f.injection(&endpoint.Fault{Kind: endpoint.PlannedStop})
	}
	s := f.plan.Scenario
	stopAt := f.At + scenario.Microseconds(
		s.Discovery.DelayMS+s.Discovery.SpreadMS+s.Rules.DrainGraceMS+s.Rules.SlackMS,
	)
	setPhase := func(phase registry.Phase) {
		for _, index := range f.Endpoints {
			f.registry.SetPhase(index, phase)
		}
	}
	actions := []action{{f.At, func() { f.addActiveFault(f.name, 1); setPhase(phase) }}}
	if stopAt < f.Until {
		actions = append(actions, action{stopAt, stopServing}, action{f.Until, serveAgain})
	}
	return append(actions, action{f.Until, func() { setPhase(registry.PhaseUp); f.addActiveFault(f.name, -1) }})
}

// setDraining returns a function that makes the affected endpoints reject new calls, or accept
// them again.
func (f *plannedFault) setDraining(on bool) func() {
	return f.forEachEndpoint(func(model *endpoint.Model, now endpoint.Time, index int) {
		model.SetDraining(now, index, on)
	})
}
