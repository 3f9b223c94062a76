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

// action is something that is done at a time of the plan.
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

// plannedFault is one fault of the plan as it is played.
type plannedFault struct {
	*Rehearsal
	*scenario.PlannedFault
	ctx  context.Context // of playing
	name string          // in progress reports
}

// faultActions returns what a fault does, and when.
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
		return f.onProcesses(f.killRelay)
	case scenario.RelayRestart:
		return f.onProcesses(f.restartRelay)
	case scenario.RelayUpgrade:
		return f.onProcesses(f.upgradeRelay)
	case scenario.RelayDrain:
		return f.lasting(f.drainRelays(true), f.drainRelays(false))
	case scenario.RelayReload:
		return f.onProcesses(f.reloadRelay)
	}
	switch {
	case strings.HasPrefix(f.Kind, "flood_"):
		return f.floodActions()
	case strings.HasPrefix(f.Kind, "tls_"):
		return f.lasting(r.identities.replacement(f.Kind, f.Endpoints))
	}
	return f.endpointActions()
}

// lasting returns the actions of a fault with a beginning and an end.
func (f *plannedFault) lasting(begin, end func()) []action {
	return []action{
		{f.At, func() { f.addActiveFault(f.name, 1); begin() }},
		{f.Until, func() { end(); f.addActiveFault(f.name, -1) }},
	}
}

// forEachRelay returns a function that calls do with each relay of the fault.
func (f *plannedFault) forEachRelay(do func(relay int)) func() {
	return func() {
		for _, relay := range f.Relays {
			do(relay)
		}
	}
}

// forEachEndpoint returns a function that calls do with each endpoint of the fault, under
// the model's lock.
func (f *plannedFault) forEachEndpoint(do func(model *endpoint.Model, now endpoint.Time, index int)) func() {
	return func() {
		f.endpointServer.Update(func(model *endpoint.Model, now endpoint.Time) {
			for _, index := range f.Endpoints {
				do(model, now, index)
			}
		})
	}
}

// listActions has endpoint lists come late, stay old, or not come.
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
	return f.lasting(set(true), set(false))
}

// floodActions has faulty clients connect to relays.
func (f *plannedFault) floodActions() []action {
	ctx, end := context.WithCancel(f.ctx)
	begin := f.forEachRelay(func(relay int) {
		f.background.Add(1)
		go func() {
			defer f.background.Done()
			loadgen.Flood(ctx, loadgen.FloodKind(f.Kind), f.targets[relay].Listen, int(f.Magnitude))
		}()
	})
	return f.lasting(begin, end)
}

// endpointActions injects a fault into the model of the endpoints.
func (f *plannedFault) endpointActions() []action {
	fault := &endpoint.Fault{
		Kind: endpoint.FaultKind(f.Kind), Magnitude: f.Magnitude, Share: f.Share, Class: f.Class,
		Defect: endpoint.ResponseDefect(f.Variant),
	}
	return f.lasting(f.injection(fault))
}

// injection returns functions that inject a fault into the fault's endpoints, and clear it.
func (f *plannedFault) injection(fault *endpoint.Fault) (begin, end func()) {
	begin = f.forEachEndpoint(func(model *endpoint.Model, now endpoint.Time, index int) {
		model.InjectFault(now, index, fault)
	})
	end = f.forEachEndpoint(func(model *endpoint.Model, now endpoint.Time, index int) {
		model.ClearFault(now, index, fault)
	})
	return begin, end
}

// phaseActions has endpoints drain or leave through the list. If the fault lasts longer
// than relays may go on calling them, the endpoints then stop serving.
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

// setDraining returns a function that has the endpoints reject new calls, or take them
// again.
func (f *plannedFault) setDraining(on bool) func() {
	return f.forEachEndpoint(func(model *endpoint.Model, now endpoint.Time, index int) {
		model.SetDraining(now, index, on)
	})
}
