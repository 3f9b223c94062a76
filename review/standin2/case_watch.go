package main

import (
	"fmt"
	"time"
)

// fleet is a deployment of many relays, whose messages go to a partner with two endpoints.
type fleet struct {
	world     *world
	near, far *endpoint
	agents    []*agent
	load      *load
}

// fleetSize is the number of relays on the page's days of twenty to thirty relays.
const fleetSize = 30

func (w *world) newFleet() *fleet {
	serve := func(d time.Duration) func(*call) answer {
		return func(*call) answer { return answer{delay: d, status: 200} }
	}
	f := &fleet{
		world: w, load: newLoad(),
		near: w.newEndpoint("s-near", serve(100*time.Millisecond)),
		far:  w.newEndpoint("s-far", serve(200*time.Millisecond)),
	}
	members := []member{
		f.near.member("dvorana-a", "dostava", knownDest, 400), f.far.member("dvorana-b", "dostava", knownDest, 400),
	}
	for i := range fleetSize {
		name := fmt.Sprintf("n%d", i+1)
		a := w.newAgent("agent-"+name, members)
		f.agents = append(f.agents, a)
		w.newRelay(name, smallDeployment(fleetSize), a).launch()
	}
	f.awaitReady()
	for i, r := range w.relays {
		waitFor(10*time.Second, r.name+"'s watch", func() bool { return f.agents[i].openWatches() == 1 })
	}
	for _, r := range w.relays {
		f.load.run(w, r, 150*time.Millisecond, func() *message {
			return &message{id: newID("9b1f03aa"), class: "termin", dest: knownDest, lifetime: 8 * time.Second, body: "{}"}
		})
	}
	time.Sleep(4 * time.Second)
	return f
}

func (f *fleet) awaitReady() {
	for _, r := range f.world.relays {
		waitFor(30*time.Second, r.name+" to answer PING", func() bool { return ping(r.listen) == "+PONG" })
	}
}

// drain makes the near endpoint drain in all agents and returns when each agent has it.
func (f *fleet) drain() (told []time.Time) {
	for _, a := range f.agents {
		told = append(told, a.set("draining", f.near.name))
	}
	return told
}

// judge reports whether a call began at the draining endpoint later than the given time after its relay was told.
func (f *fleet) judge(told []time.Time, most time.Duration) bool {
	w := f.world
	messages := f.load.end()
	owner := map[string]int{}
	for _, m := range messages {
		for i, r := range w.relays {
			if m.relay == r {
				owner[m.id] = i
			}
		}
	}
	before, late, worst := 0, 0, time.Duration(0)
	guilty := map[int]bool{}
	for _, c := range f.near.all() {
		i, ok := owner[c.id]
		if !ok {
			continue
		}
		after := c.first.Sub(told[i])
		if after < 0 {
			before++
		}
		if after > most {
			late++
			guilty[i] = true
			worst = max(worst, after)
			w.logAt(c.first, "LATE: %s began call %s at %s %.3f s after its agent had the drain",
				w.relays[i].name, c.id, f.near.name, after.Seconds())
		}
	}
	require(before > 100, "only %d calls reached %s before the drain", before, f.near.name)
	w.say("calls at the endpoint before the drain: %d; begun over %.2f s after the agents had it: %d, by %d of %d relays; "+
		"the latest after %.2f s", before, most.Seconds(), late, len(guilty), len(w.relays), worst.Seconds())
	return late > 0
}

// caseWatch: the connections of the open watches end, and just then an endpoint starts to drain.
func caseWatch(w *world) bool {
	f := w.newFleet()
	if w.trouble {
		for _, a := range f.agents {
			a.endWatches()
		}
	}
	time.Sleep(100 * time.Millisecond)
	told := f.drain()
	time.Sleep(10 * time.Second)
	return f.judge(told, drainGrace)
}
