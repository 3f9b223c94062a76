package main

import "time"

const (
	knownDest  = 3
	drainGrace = 2050 * time.Millisecond // 2 s, and 50 ms on sockets
)

// twoEndpoints starts an endpoint that a relay prefers and one that it uses less, and their load.
type twoEndpoints struct {
	near, far *endpoint
	agent     *agent
	relay     *relay
	load      *load
}

func (w *world) newTwoEndpoints() *twoEndpoints {
	serve := func(d time.Duration) func(*call) answer {
		return func(*call) answer { return answer{delay: d, status: 200} }
	}
	t := &twoEndpoints{near: w.newEndpoint("s-near", serve(100*time.Millisecond)),
		far: w.newEndpoint("s-far", serve(200*time.Millisecond)), load: newLoad()}
	t.agent = w.newAgent("agent", []member{
		t.near.member("dvorana-a", "dostava", knownDest, 400), t.far.member("dvorana-b", "dostava", knownDest, 400),
	})
	t.relay = w.newRelay("n1", smallDeployment(3), t.agent)
	return t
}

// begin starts the relay and the clients.
func (t *twoEndpoints) begin(w *world) {
	t.relay.start()
	waitFor(10*time.Second, "the watch", func() bool { return t.agent.openWatches() == 1 })
	for range 2 {
		t.load.run(w, t.relay, 100*time.Millisecond, func() *message {
			return &message{id: newID("9b1f03aa"), class: "termin", dest: knownDest, lifetime: 8 * time.Second, body: "{}"}
		})
	}
	time.Sleep(4 * time.Second)
}

// judge reports whether a call began at the draining endpoint after the given time.
func (t *twoEndpoints) judge(w *world, told time.Time, binds time.Time) bool {
	before, late := 0, 0
	worst := time.Duration(0)
	for _, c := range t.near.all() {
		if c.first.Before(told) {
			before++
		}
		if c.first.After(binds) {
			late++
			worst = c.first.Sub(told)
			w.logAt(c.first, "LATE: call %s began at %s, %.3f s after the drain was told", c.id, t.near.name, worst.Seconds())
		}
	}
	require(before > 20, "only %d calls reached the endpoint before it drained", before)
	w.say("calls at the endpoint before it drained: %d; begun after the drain binds: %d, the last one %.2f s after it was told",
		before, late, worst.Seconds())
	return late > 0
}
