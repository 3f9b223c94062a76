package main

import (
	"syscall"
	"time"
)

// An endpoint drains. The agent at the old address has told the relay so when a new configuration moves
// discovery to another address, whose agent gets the same change later, as lists come seconds late.
func init() { cases["moved-discovery"] = movedDiscovery }

const (
	// Changes reach the agents 1.2 to 4.5 s after discovery had them (notice_s of the site file).
	firstAgentLate  = 1200 * time.Millisecond
	secondAgentLate = 4500 * time.Millisecond
	moveAfterTold   = 500 * time.Millisecond
)

func movedDiscovery(w *world) error {
	a, err := newEndpoint(w.rec, "p1-a", serveOK(40*time.Millisecond))
	if err != nil {
		return err
	}
	b, err := newEndpoint(w.rec, "p1-b", serveOK(200*time.Millisecond))
	if err != nil {
		return err
	}
	members := []member{a.member(1, "dostava", "up", 60), b.member(1, "dostava", "up", 60)}
	if err := w.startDiscovery(members...); err != nil {
		return err
	}
	if err := w.startRelay(); err != nil {
		return err
	}
	w.traffic(50*time.Millisecond, w.termin(1))
	time.Sleep(4 * time.Second)
	draining := members[0]
	draining.Phase = "draining"
	w.rec.note("discovery: endpoint %s drains; the agents get it later", draining.ID)
	changed := time.Now()
	time.Sleep(time.Until(changed.Add(firstAgentLate)))
	if err := w.agent.applyAndTell(draining); err != nil {
		return err
	}
	told := time.Now()
	if w.trouble {
		time.Sleep(moveAfterTold)
		if err := w.moveDiscovery(members); err != nil {
			return err
		}
		time.Sleep(time.Until(changed.Add(secondAgentLate)))
		w.agent.apply(draining)
	}
	time.Sleep(time.Until(told.Add(8 * time.Second)))
	late, last := callsAfter(a, told.Add(drainGrace+slack))
	if late > 0 {
		w.broken("%d calls begun at %s up to %d ms after the relay was told that it drains", late, draining.ID,
			last.Sub(told).Milliseconds())
	}
	return nil
}

// moveDiscovery gives the relay a new configuration, whose discovery is another agent with this list, and
// sends SIGHUP. The old address takes no new connection and closes the open ones after 1.5 s.
func (w *world) moveDiscovery(members []member) error {
	old := w.agent
	w.agent = newAgent(w.rec, "b", 41, members)
	w.agent.notices = old.notices
	address, err := w.agent.serve()
	if err != nil {
		return err
	}
	w.relay.discovery = address
	if err := w.relay.writeConfig(); err != nil {
		return err
	}
	w.rec.note("platform: new configuration, SIGHUP")
	w.process.signal(syscall.SIGHUP)
	old.retire()
	return nil
}
