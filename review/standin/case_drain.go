package main

import (
	"time"
)

// A relay is told DRAIN. Every 0.1 s the front asks it with PING, and it has to say no until UNDRAIN; 4 s
// after the call a yes breaks the rule on lost messages. The trouble is an upgrade of the relay 1 s
// after the call; the rules see both processes as one relay.
func init() { cases["drained-upgrade"] = drainedUpgrade }

const (
	drainLimit   = 4 * time.Second       // DAYS, "Draining a relay"
	slack        = 50 * time.Millisecond // PROTOCOL: each time limit is 50 ms longer
	frontAsks    = 100 * time.Millisecond
	drainUpgrade = time.Second // from the call to the upgrade
	drainWatched = 8 * time.Second
)

func drainedUpgrade(w *world) error {
	e, err := newEndpoint(w.rec, "p1-a", serveOK(40*time.Millisecond))
	if err != nil {
		return err
	}
	if err := w.startDiscovery(e.member(1, "dostava", "up", 30)); err != nil {
		return err
	}
	if err := w.startRelay(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	answer, err := operatorCall(w.relay.console, "DRAIN")
	if err != nil || len(answer) < 3 || answer[:3] != "YES" {
		return errorf("DRAIN is answered %q, %v", answer, err)
	}
	called := time.Now()
	w.rec.noteAt(called, "operator: DRAIN is answered %q", answer)
	if w.trouble {
		w.clients.Add(1)
		time.AfterFunc(drainUpgrade, func() {
			defer w.clients.Done()
			if err := w.upgrade(); err != nil {
				w.fail(err)
			}
		})
	}
	yes := 0
	for time.Since(called) < drainWatched {
		time.Sleep(frontAsks)
		asked := time.Now()
		c := client{address: w.relay.listen}
		line, err := c.ask(respCommand("PING"))
		c.close()
		w.rec.noteAt(asked, "front: PING is answered %q %v", line, errText(err))
		if line == "+PONG" && asked.Sub(called) > drainLimit+slack {
			yes++
		}
	}
	if w.process.hasExited() {
		return errorf("the relay has exited")
	}
	if yes > 0 {
		w.broken("%d of the PINGs later than 4 s after DRAIN, with no UNDRAIN, are answered yes", yes)
	}
	return nil
}
