package main

import (
	"sync"
	"time"
)

// Calls are out while the relay is upgraded. The endpoint answers them and keeps the connections, closes
// them early while they rest, and gets the next message. The new process must not end by itself.
func init() { cases["upgrade-with-calls"] = upgradeWithCalls }

const (
	crashRounds  = 3
	callsOut     = 4
	usualAnswer  = 100 * time.Millisecond
	slowAnswer   = 700 * time.Millisecond // of the calls that are out during the upgrade; within the aim of 1.5 s
	restBefore   = 300 * time.Millisecond // for which the endpoint leaves an answered connection open
	nextMessage  = 20 * time.Millisecond  // after the endpoint has closed them
	warmUp       = 40                     // messages before, so that several calls may be out at once
	warmUpEvery  = 50 * time.Millisecond
	crashWatched = time.Second
)

func upgradeWithCalls(w *world) error {
	e, err := newEndpoint(w.rec, "p1-a", serveOK(usualAnswer))
	if err != nil {
		return err
	}
	if err := w.startDiscovery(e.member(1, "dostava", "up", 60)); err != nil {
		return err
	}
	if err := w.startRelay(); err != nil {
		return err
	}
	message := w.termin(1)
	for range crashRounds {
		c := client{address: w.relay.listen}
		for i := range warmUp {
			w.submit(&c, message(i))
			time.Sleep(warmUpEvery)
		}
		time.Sleep(10 * usualAnswer)
		e.setBehaviour(serveOK(slowAnswer))
		before := len(e.all())
		w.submitAtOnce(callsOut, message)
		for end := time.Now().Add(time.Second); len(e.all()) < before+callsOut; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				return errorf("only %d of %d calls are out", len(e.all())-before, callsOut)
			}
		}
		if w.trouble {
			if err := w.upgrade(); err != nil {
				return err
			}
		}
		time.Sleep(slowAnswer + restBefore)
		e.setBehaviour(serveOK(usualAnswer))
		e.closeConnections()
		time.Sleep(nextMessage)
		w.submit(&c, message(0))
		time.Sleep(crashWatched)
		c.close()
		if w.process.hasExited() {
			w.rec.note("platform: process %d has ended by itself: %v", w.process.cmd.Process.Pid, w.process.cmd.ProcessState)
			late := client{address: w.relay.listen}
			_, err := late.ask(respCommand("PING"))
			w.rec.note("front: PING has no answer: %v", err)
			w.broken("the relay's process has ended by itself (%v)", w.process.cmd.ProcessState)
			return nil
		}
	}
	return nil
}

// submitAtOnce hands in messages at the same time, each on a connection of its own.
func (w *world) submitAtOnce(n int, message func(int) submission) {
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			c := client{address: w.relay.listen}
			defer c.close()
			w.submit(&c, message(i))
		}()
	}
	all.Wait()
}

// closeConnections closes the connections that the endpoint holds, all of which rest.
func (e *endpoint) closeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.rec.note("endpoint %s: closes %d resting connections", e.name, len(e.conns))
}
