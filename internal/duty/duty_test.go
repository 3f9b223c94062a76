package duty

import (
	"math/rand/v2"
	"testing"
)

// Each call in each state has one stated result.
func TestEachCallInEachState(t *testing.T) {
	reach := map[State]func(*Machine){
		Starting: func(*Machine) {},
		Serving:  func(m *Machine) { m.Serve() },
		Draining: func(m *Machine) { m.Serve(); m.Drain() },
		Ceding:   func(m *Machine) { m.Serve(); m.Cede() },
		Ceded:    func(m *Machine) { m.Serve(); m.Cede(); m.Gone() },
		Stopping: func(m *Machine) { m.Serve(); m.Stop() },
	}
	cases := []struct {
		in    State
		call  string
		yes   bool
		do    Do
		after State
	}{
		{Starting, "drain", true, Nothing, Starting}, {Starting, "undrain", true, Nothing, Starting}, {Starting, "ready", false, Nothing, Starting},
		{Serving, "drain", true, LetGo, Draining}, {Serving, "undrain", true, Nothing, Serving}, {Serving, "ready", true, Nothing, Serving},
		{Draining, "drain", true, Nothing, Draining}, {Draining, "undrain", true, TakeBack, Serving}, {Draining, "ready", true, Nothing, Draining},
		{Ceding, "drain", true, Nothing, Ceding}, {Ceding, "undrain", true, Nothing, Ceding}, {Ceding, "ready", false, Nothing, Ceding},
		{Ceded, "drain", false, Nothing, Ceded}, {Ceded, "undrain", false, Nothing, Ceded}, {Ceded, "ready", false, Nothing, Ceded},
		{Stopping, "drain", false, Nothing, Stopping}, {Stopping, "undrain", false, Nothing, Stopping}, {Stopping, "ready", false, Nothing, Stopping},
		{Serving, "stop", true, LetGo, Stopping}, {Draining, "stop", true, LetGo, Stopping}, {Ceded, "stop", true, Nothing, Ceded},
	}
	for _, c := range cases {
		m := &Machine{}
		reach[c.in](m)
		var a Answer
		var do Do
		switch c.call {
		case "drain":
			a, do = m.Drain()
		case "undrain":
			a, do = m.Undrain()
		case "ready":
			a = m.Ready()
		case "stop":
			a.Yes, do = true, m.Stop()
		}
		if a.Yes != c.yes || do != c.do || m.State() != c.after {
			t.Errorf("%s while %s: %v, do %d, then %s; want %v, %d, %s", c.call, c.in, a, do, m.State(), c.yes, c.do, c.after)
		}
	}
}

// A drain asked for before the process serves holds once it does, also over a
// take-over that comes to nothing.
func TestDrainOutlastsStartAndFailedTakeover(t *testing.T) {
	m := &Machine{}
	m.Drain()
	if do := m.Serve(); do != LetGo || m.State() != Draining || m.Clients() {
		t.Errorf("after the start: %v, do %d", m.State(), do)
	}
	m.Cede()
	if do := m.Serve(); do != LetGo || m.State() != Draining {
		t.Errorf("after a take-over that failed: %v, do %d", m.State(), do)
	}
	m.Undrain()
	m.Cede()
	if do := m.Serve(); do != Nothing || m.State() != Serving || !m.Clients() {
		t.Errorf("undrained, after a take-over that failed: %v, do %d", m.State(), do)
	}
}

// Whatever is called, clients are let go exactly when they are not wanted, and
// the last of DRAIN and UNDRAIN that was told yes holds.
func TestAnyCalls(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := &Machine{}
		kept, want := true, false
		for range 40 {
			var a Answer
			do := Nothing
			switch rng.IntN(7) {
			case 0, 1:
				if a, do = m.Drain(); a.Yes {
					want = true
				}
			case 2, 3:
				if a, do = m.Undrain(); a.Yes {
					want = false
				}
			case 4:
				do = m.Serve()
			case 5:
				m.Cede()
			case 6:
				if rng.IntN(10) == 0 {
					do = m.Stop()
				}
			}
			kept = do == TakeBack || kept && do != LetGo
			switch m.State() {
			case Serving:
				// A take-over that failed under a drain that was ended meanwhile
				// keeps connections as they come; nothing is let go anew.
				if want || !m.Clients() {
					t.Fatalf("seed %d: serving, drain wanted %v", seed, want)
				}
			case Draining:
				if !want || kept || m.Clients() {
					t.Fatalf("seed %d: draining, wanted %v, connections kept %v", seed, want, kept)
				}
			}
		}
	}
}

// The words of each answer, which operators' scripts read.
func TestWordsOfAnswers(t *testing.T) {
	for _, c := range []struct {
		state                 State
		ready, drain, undrain string
	}{
		{Starting, "starting", "draining once serving", "serving once ready"},
		{Serving, "serving", "draining", "serving already"},
		{Draining, "draining", "draining already", "serving"},
		{Ceding, "ceding", "draining once serving", "serving once ready"},
		{Ceded, "ceded", "ceded", "ceded"},
		{Stopping, "stopping", "stopping", "stopping"},
	} {
		ready, drain, undrain := &Machine{state: c.state}, &Machine{state: c.state}, &Machine{state: c.state}
		d, _ := drain.Drain()
		u, _ := undrain.Undrain()
		if r := ready.Ready(); r.Why != c.ready || d.Why != c.drain || u.Why != c.undrain || c.state.String() != c.ready {
			t.Errorf("%s: ready %q, drain %q, undrain %q", c.state, r.Why, d.Why, u.Why)
		}
	}
}
