package core

import (
	"log/slog"
	"slices"

	"troutusher/decide"
)

// A core can be carried over into another process. What is held lies in the
// log, and the other core reads it there; what the log does not have comes as
// Carried. Until the other has all of it, this one can go on as if nothing had
// been asked of it.

// Carried is what a core knows beside its log. Moments are those of the
// exporting core's clock.
type Carried struct {
	Revision int64            `json:"revision,omitempty"` // of the list that it goes by
	Members  []CarriedMember  `json:"members"`
	Named    []int            `json:"named"`
	Waits    []CarriedWait    `json:"waits,omitempty"`
	Calls    []CarriedCall    `json:"calls"`
	Worth    []CarriedWorth   `json:"worth"`
	Policy   *decide.Snapshot `json:"policy"`
}

// CarriedMember is an endpoint that the list holds, or one that has left and is
// still bound by a wait or a call.
type CarriedMember struct {
	Member
	Number    decide.EndpointID `json:"number"`
	WaitUntil decide.Time       `json:"wait_until,omitempty"`
}

// CarriedWait is a wait that a destination has told.
type CarriedWait struct {
	Dest  int         `json:"dest"`
	Until decide.Time `json:"until"`
}

// CarriedCall is a call that is out, whole, and not answered.
type CarriedCall struct {
	Message  string      `json:"message"`
	Endpoint string      `json:"endpoint"` // its id
	Sent     decide.Time `json:"sent"`
	Until    decide.Time `json:"until"`
	call     *Call
}

// CarriedWorth is what a held message was found worth when it was taken on.
type CarriedWorth struct {
	Message string  `json:"message"`
	Worth   float64 `json:"worth"`
}

// Call is the exporting core's.
func (c *CarriedCall) Call() *Call { return c.call }

// Cede has no new call begun, until Thaw. All else goes on.
func (r *Core) Cede() { r.ceding = true }

// Thaw ends Cede: what was put off meanwhile is sent, where there is still time
// for it.
func (r *Core) Thaw(now decide.Time, fx []Effect) []Effect {
	r.now, r.fx, r.ceding = max(now, r.now), fx, false
	r.unshelve()
	return r.done()
}

// Await has no call or probe begun until Begin: the list that is known may be
// old, and what has drained since must not be sent to. Messages are taken on,
// answered, logged and ended meanwhile as ever, since no client waits for calls.
func (r *Core) Await() { r.awaiting = true }

func (r *Core) begin() {
	if !r.awaiting {
		return
	}
	r.awaiting = false
	r.unshelve()
	for _, num := range r.probes {
		if ep := r.byNum[num]; ep != nil && !ep.gone {
			r.probe(ep)
		}
	}
	r.probes = nil
}

// unshelve sends what was put off, oldest first.
func (r *Core) unshelve() {
	var put []*message
	for _, m := range r.msgs {
		if m.pending != nil && m.heard && !r.shelve(m) {
			put = append(put, m)
		}
	}
	slices.SortFunc(put, func(a, b *message) int { return int(a.num) - int(b.num) })
	for _, m := range put {
		a := m.pending
		m.pending = nil
		r.send(m, a)
	}
}

// Carry shows what another core needs to go on in this one's place. No request
// may wait for its answer, and no call be on its way to its endpoint.
func (r *Core) Carry(now decide.Time) *Carried {
	r.now = max(now, r.now)
	r.bookAll()
	c := &Carried{Revision: r.rev, Policy: r.policy.Snapshot(r.now), Members: r.carriedMembers(), Waits: r.carriedWaits()}
	members, lanes := r.resting(true)
	c.Members, c.Policy.Limiters = append(c.Members, members...), append(c.Policy.Limiters, lanes...)
	for dest := range r.named {
		c.Named = append(c.Named, dest)
	}
	c.Named = append(c.Named, r.departed()...)
	slices.Sort(c.Named)
	held := make([]*message, 0, len(r.msgs))
	for _, m := range r.msgs {
		if !m.over && m.logged {
			held = append(held, m)
		}
	}
	slices.SortFunc(held, func(a, b *message) int { return int(a.num) - int(b.num) })
	for _, m := range held {
		c.Worth = append(c.Worth, CarriedWorth{m.rec.ID, r.policy.Weight(m.num)})
		if k := m.call; k != nil && k.ep != nil {
			c.Calls = append(c.Calls, CarriedCall{m.rec.ID, k.ep.id, k.sent, k.sent + k.Limit, k})
		}
	}
	return c
}

// carriedMembers are the endpoints that another core should know.
func (r *Core) carriedMembers() (all []CarriedMember) {
	for _, ep := range r.endpoints {
		m := CarriedMember{Member: ep.member, Number: ep.num, WaitUntil: ep.waitUntil}
		switch {
		case ep.listed && !ep.gone:
		case ep.listed || ep.waitUntil > r.now || len(ep.calls) > 0:
			m.Phase = Draining
		default:
			continue
		}
		all = append(all, m)
	}
	return all
}

// carriedWaits are the waits of destinations that last.
func (r *Core) carriedWaits() (all []CarriedWait) {
	for dest, until := range r.waits {
		if until > r.now {
			all = append(all, CarriedWait{dest, until})
		}
	}
	slices.SortFunc(all, func(a, b CarriedWait) int { return a.Dest - b.Dest })
	return all
}

// adopt takes over what another core knew, and returns the calls that it had
// out and the worths that it had found, by message.
func (r *Core) adopt(c *Carried, shift decide.Time) (map[string]*CarriedCall, map[string]float64) {
	for _, w := range c.Waits {
		r.waits[w.Dest] = max(r.waits[w.Dest], w.Until+shift)
	}
	l := &List{Revision: c.Revision, Complete: true}
	for i := range c.Members {
		l.Members = append(l.Members, c.Members[i].Member)
	}
	r.list(l, decide.ListCached)
	r.bookAll()
	for _, dest := range c.Named {
		if !r.asleep(dest) {
			r.named[dest] = true
			r.rest.roster.Stir(dest, r.now)
		}
	}
	p := c.Policy
	if p == nil {
		p = &decide.Snapshot{}
	}
	r.wakeAll(p)
	r.step() // the policy knows the endpoints from here on
	r.inherit(p, c.Members, shift)
	for _, ep := range r.endpoints {
		if ep.waitUntil > 0 {
			r.do(Effect{Kind: Hold, Endpoint: ep.num, Until: r.heldUntil(ep)})
		}
	}
	if c.Policy != nil {
		r.policy.LoadSnapshot(r.now, p, shift)
	}
	calls, worth := map[string]*CarriedCall{}, map[string]float64{}
	for i := range c.Calls {
		calls[c.Calls[i].Message] = &c.Calls[i]
	}
	for _, w := range c.Worth {
		worth[w.Message] = w.Worth
	}
	return calls, worth
}

// goOn books a call that the other core had out, and has the driver wait for
// its end.
func (r *Core) goOn(m *message, k *CarriedCall, shift decide.Time, e *decide.Event) {
	ep := r.byID[k.Endpoint]
	if ep == nil {
		return
	}
	sent := k.Sent + shift
	c := &Call{Rec: m.rec, Endpoint: ep.num, Limit: max(k.Until+shift-r.now, 1), m: m, ep: ep, apart: r.apart(ep.flavor), attempt: m.tries - 1, sent: sent}
	m.call = c
	ep.calls = append(ep.calls, c)
	r.calls++
	e.AttemptSentAt, e.AttemptEndpoint = max(sent, 1), ep.num
	r.do(Effect{Kind: GoOn, Call: c})
	r.tell(slog.LevelInfo, "call goes on", "message", m.rec.ID, "endpoint", ep.num, "left_ms", c.Limit/1000)
}
