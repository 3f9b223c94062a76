package main

import "time"

// A relay starts while discovery is down. The list in its configuration is old: one of its endpoints has
// left long ago, and the agent had been told so before it fell silent.
func init() { cases["start-in-outage"] = startInOutage }

func startInOutage(w *world) error {
	a, err := newEndpoint(w.rec, "p1-a", serveOK(40*time.Millisecond))
	if err != nil {
		return err
	}
	b, err := newEndpoint(w.rec, "p1-b", serveOK(40*time.Millisecond))
	if err != nil {
		return err
	}
	if err := w.startDiscovery(a.member(1, "dostava", "up", 60), b.member(1, "dostava", "up", 60)); err != nil {
		return err
	}
	w.agent.apply(a.member(1, "dostava", "removed", 60))
	if w.trouble {
		w.agent.setSilent(true)
	}
	if err := w.startRelay(); err != nil {
		return err
	}
	ready := time.Now()
	w.traffic(50*time.Millisecond, w.termin(1))
	time.Sleep(outage)
	w.agent.setSilent(false)
	time.Sleep(4 * time.Second)
	late, last := callsAfter(a, ready.Add(drainGrace+slack))
	if late > 0 {
		w.broken("%d calls begun at the removed endpoint s-p1-a up to %d ms after the process was ready", late,
			last.Sub(ready).Milliseconds())
	}
	return nil
}
