package lifecycle

import (
	"math/rand/v2"
	"testing"
)

// Each call in each state has one result.
func TestTransitions(t *testing.T) {
	reach := map[State]func(*Machine){
		Starting:    func(*Machine) {},
		Serving:     func(m *Machine) { m.StartServing() },
		Draining:    func(m *Machine) { m.StartServing(); m.StartDrain() },
		HandingOver: func(m *Machine) { m.StartServing(); m.StartHandover() },
		HandedOver:  func(m *Machine) { m.StartServing(); m.StartHandover(); m.CompleteHandover() },
		Stopping:    func(m *Machine) { m.StartServing(); m.Stop() },
	}
	cases := []struct {
		in     State
		call   string
		ok     bool
		action Action
		after  State
	}{
		{Starting, "drain", true, NoAction, Starting},
		{Starting, "undrain", true, NoAction, Starting},
		{Starting, "ready", false, NoAction, Starting},
		{Serving, "drain", true, CloseClients, Draining},
		{Serving, "undrain", true, NoAction, Serving},
		{Serving, "ready", true, NoAction, Serving},
		{Draining, "drain", true, NoAction, Draining},
		{Draining, "undrain", true, KeepClients, Serving},
		{Draining, "ready", true, NoAction, Draining},
		{HandingOver, "drain", true, NoAction, HandingOver},
		{HandingOver, "undrain", true, NoAction, HandingOver},
		{HandingOver, "ready", false, NoAction, HandingOver},
		{HandedOver, "drain", false, NoAction, HandedOver},
		{HandedOver, "undrain", false, NoAction, HandedOver},
		{HandedOver, "ready", false, NoAction, HandedOver},
		{Stopping, "drain", false, NoAction, Stopping},
		{Stopping, "undrain", false, NoAction, Stopping},
		{Stopping, "ready", false, NoAction, Stopping},
		{Serving, "stop", true, CloseClients, Stopping},
		{Draining, "stop", true, CloseClients, Stopping},
		{HandedOver, "stop", true, NoAction, HandedOver},
	}
	for _, c := range cases {
		m := &Machine{}
		reach[c.in](m)
		var a Answer
		var action Action
		switch c.call {
		case "drain":
			a, action = m.StartDrain()
		case "undrain":
			a, action = m.EndDrain()
		case "ready":
			a = m.Ready()
		case "stop":
			a.OK, action = true, m.Stop()
		}
		if a.OK != c.ok || action != c.action || m.State() != c.after {
			t.Errorf("%s while %s: %v, action %d, then %s; want %v, %d, %s",
				c.call, c.in, a, action, m.State(), c.ok, c.action, c.after)
		}
	}
}

// A drain that was asked for before the process serves holds once it does, also after
// a hand-over that failed.
func TestDrainOutlastsStartAndFailedHandover(t *testing.T) {
	m := &Machine{}
	m.StartDrain()
	if action := m.StartServing(); action != CloseClients || m.State() != Draining || m.AcceptsClients() {
		t.Errorf("after the start: %v, action %d", m.State(), action)
	}
	m.StartHandover()
	if action := m.StartServing(); action != CloseClients || m.State() != Draining {
		t.Errorf("after a hand-over that failed: %v, action %d", m.State(), action)
	}
	m.EndDrain()
	m.StartHandover()
	if action := m.StartServing(); action != NoAction || m.State() != Serving || !m.AcceptsClients() {
		t.Errorf("undrained, after a hand-over that failed: %v, action %d", m.State(), action)
	}
}

// Whatever is called, client connections are closed exactly when new clients are not
// accepted, and the last of DRAIN and UNDRAIN that was answered with yes holds.
func TestRandomTransitions(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := &Machine{}
		kept, want := true, false
		for range 40 {
			var a Answer
			action := NoAction
			switch rng.IntN(7) {
			case 0, 1:
				if a, action = m.StartDrain(); a.OK {
					want = true
				}
			case 2, 3:
				if a, action = m.EndDrain(); a.OK {
					want = false
				}
			case 4:
				action = m.StartServing()
			case 5:
				m.StartHandover()
			case 6:
				if rng.IntN(10) == 0 {
					action = m.Stop()
				}
			}
			kept = action == KeepClients || kept && action != CloseClients
			switch m.State() {
			case Serving:
				// A hand-over that failed under a drain that was ended meanwhile
				// keeps connections as they come; none is closed anew.
				if want || !m.AcceptsClients() {
					t.Fatalf("seed %d: serving, drain wanted %v", seed, want)
				}
			case Draining:
				if !want || kept || m.AcceptsClients() {
					t.Fatalf("seed %d: draining, wanted %v, connections kept %v", seed, want, kept)
				}
			}
		}
	}
}

// The words of each answer, which operators' scripts read.
func TestAnswerTexts(t *testing.T) {
	for _, c := range []struct {
		state                 State
		ready, drain, undrain string
	}{
		{Starting, "starting", "draining once serving", "serving once ready"},
		{Serving, "serving", "draining", "serving already"},
		{Draining, "draining", "draining already", "serving"},
		{HandingOver, "ceding", "draining once serving", "serving once ready"},
		{HandedOver, "ceded", "ceded", "ceded"},
		{Stopping, "stopping", "stopping", "stopping"},
	} {
		ready, drain, undrain := &Machine{state: c.state}, &Machine{state: c.state}, &Machine{state: c.state}
		d, _ := drain.StartDrain()
		u, _ := undrain.EndDrain()
		r := ready.Ready()
		if r.Reason != c.ready || d.Reason != c.drain || u.Reason != c.undrain || c.state.String() != c.ready {
			t.Errorf("%s: ready %q, drain %q, undrain %q", c.state, r.Reason, d.Reason, u.Reason)
		}
	}
}
