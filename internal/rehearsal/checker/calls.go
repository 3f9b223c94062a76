package checker

import (
	"fmt"
	"slices"

	"troutusher/internal/event"
)

// doubt reports whether the call may have run.
func (c *call) doubt() bool { return c.ended == 0 || !event.NeverRan(c.status) }

func (c *call) how() string {
	switch {
	case c.ended == 0:
		return "it is still out"
	case c.status == 0:
		return "it ended with no answer"
	}
	return fmt.Sprintf("status %d", c.status)
}

func (r *Referee) callFirst(e *event.Event) {
	c := &call{no: e.Call, relay: e.Relay, endpoint: e.Endpoint, first: r.now}
	r.calls[e.Call] = c
	if told, ok := r.relays[e.Relay].gone[e.Endpoint]; ok && r.now > told+r.f.DrainGrace+r.f.Slack {
		c.late = fmt.Sprintf("relay %d began a call to %s %.3f s after it was told that it drains or is gone", e.Relay,
			r.end(e.Endpoint).Name, sec(r.now-told))
	}
}

func (r *Referee) callBegan(e *event.Event) {
	c := r.calls[e.Call]
	if c == nil {
		c = &call{no: e.Call, relay: e.Relay, endpoint: e.Endpoint, first: r.now}
		r.calls[e.Call] = c
	}
	h := r.ids[e.ID]
	if h == nil {
		r.convict(
			Strays, nil, e.Relay, e.Endpoint, "relay %d called %s for %q, which nobody handed in", e.Relay,
			r.end(e.Endpoint).Name, e.ID,
		)
		return
	}
	c.h, c.began = h, r.now
	m := r.f.Messages[h.num]
	if r.end(c.endpoint).Dest != m.Dest {
		r.convict(
			Strays, h, c.relay, c.endpoint, "relay %d called %s, which serves destination %d and not %d", c.relay,
			r.end(c.endpoint).Name, r.end(c.endpoint).Dest, m.Dest,
		)
	}
	if c.late != "" {
		r.convict(Drains, h, c.relay, c.endpoint, "%s", c.late)
	}
	r.waited(h, c.relay, c.endpoint, "a call")
	if h.state != void {
		r.again(h, c)
		r.inOrder(h, c)
	}
	h.calls = append(h.calls, c)
	if h.untried {
		h.untried = false
		r.starts.Tried++
	}
}

// again judges a call of a message that had calls before, under this id or an
// earlier one whose client heard an answer.
func (r *Referee) again(h *handIn, c *call) {
	class := r.f.Classes[r.f.Messages[h.num].Class]
	var doubt *call
	for _, x := range h.calls {
		if x.ended == 0 {
			r.convict(
				Once, h, c.relay, c.endpoint, "a second copy: its call to %s of %.3f s is still out while %s is called",
				r.end(x.endpoint).Name, sec(x.began), r.end(c.endpoint).Name,
			)
		}
	}
	for _, x := range r.byNum[h.num] {
		if x.state == void {
			continue
		}
		for _, y := range x.calls {
			if y.doubt() && (doubt == nil || y.first < doubt.first) {
				doubt = y
			}
		}
	}
	switch {
	case doubt == nil:
	case class.Repeat == Unsafe:
		r.convict(
			Once, h, c.relay, c.endpoint,
			"an unsafe message is sent to %s again: its call to %s at %.3f s may have run (%s)", r.end(c.endpoint).Name,
			r.end(doubt.endpoint).Name, sec(doubt.began), doubt.how(),
		)
	case class.Repeat == Keyed && c.first > doubt.first+class.Window+r.f.Slack:
		r.convict(
			Once,
			h,
			c.relay,
			c.endpoint,
			"a keyed message is sent to %s again %.3f s after the call that may have run; its key is remembered for "+
				"%.3f s",
			r.end(c.endpoint).Name,
			sec(c.first-doubt.first),
			sec(class.Window),
		)
	}
}

// inOrder judges a call of a message of a thread.
func (r *Referee) inOrder(h *handIn, c *call) {
	m := r.f.Messages[h.num]
	class := r.f.Classes[m.Class]
	if !class.InOrder || m.Thread == 0 {
		return
	}
	t := thread{h.relay, m.Thread}
	kept := r.threads[t][:0]
	for _, x := range r.threads[t] {
		settled := x.finished()
		for _, y := range x.calls {
			if y.ended == 0 || y.doubt() && y.status != event.StatusDelivered && r.now < y.ended+class.Rest-r.f.Slack {
				settled = false
				if x != h || y.ended != 0 {
					r.convict(
						Order, h, c.relay, c.endpoint,
						"it goes out while %s of its thread has a call whose end is not sure (%s, at %.3f s)", x.id,
						y.how(), sec(y.began),
					)
				}
			}
		}
		if x != h && !x.finished() && x.heardAt < h.at {
			r.convict(Order, h, c.relay, c.endpoint, "it goes out while %s, taken on earlier, is not finished", x.id)
		}
		if !settled || x == h {
			kept = append(kept, x)
		}
	}
	r.threads[t] = kept
}

// waited judges a call or a probe against the waits that its relay was told.
func (r *Referee) waited(h *handIn, relay, endpoint int, what string) {
	p := r.place(endpoint)
	kept := p.waits[relay][:0]
	told := false
	for _, w := range p.waits[relay] {
		if r.now >= w.until {
			continue
		}
		kept = append(kept, w)
		if r.now > w.from+r.f.WaitPass+r.f.Slack && !told {
			told = true
			r.convict(
				Waits, h, relay, endpoint, "relay %d sent %s to %s %.3f s into a wait of %.3f s", relay, what,
				r.end(endpoint).Name, sec(r.now-w.from), sec(w.until-w.from),
			)
		}
	}
	p.waits[relay] = kept
}

func (r *Referee) callEnded(e *event.Event) {
	c := r.calls[e.Call]
	if c == nil || c.ended != 0 {
		return
	}
	c.ended, c.status = max(r.now, 1), e.Status
	delete(r.calls, e.Call)
	if e.Status == event.StatusDelivered {
		if c.h != nil && c.h.state != void {
			c.h.delivered = true // counts once its client has heard that it is taken on
		}
		return
	}
	p := r.place(c.endpoint)
	if len(p.out) > 0 {
		r.saw(c.relay, c.endpoint)
	}
	if e.Status == event.StatusWait && e.Wait > 0 {
		p.waits[c.relay] = append(p.waits[c.relay], wait{r.now, r.now + e.Wait})
	}
}

// saw: a relay has seen a call or a probe go wrong during an outage.
func (r *Referee) saw(relay, endpoint int) {
	if p := r.place(endpoint); len(p.out) > 0 && r.known(relay) && p.seen[relay] == 0 {
		p.seen[relay] = 1 + r.now
	}
}

// effect books that a call took effect. Calls may do so long after their end.
func (r *Referee) effect(e *event.Event) {
	h := r.ids[e.ID]
	if h == nil || h.state == void {
		return
	}
	class := r.f.Classes[r.f.Messages[h.num].Class]
	if class.Repeat == Safe {
		return
	}
	c := &call{no: e.Call, endpoint: e.Endpoint, began: r.now, h: h}
	had := slices.DeleteFunc(r.ran[h.num], func(x *call) bool { return x.h.state == void })
	if len(had) > 0 {
		r.convict(
			Once, h, e.Relay, e.Endpoint, "it took effect at %s, as it had at %s at %.3f s", r.end(e.Endpoint).Name,
			r.end(had[0].endpoint).Name, sec(had[0].began),
		)
	}
	r.ran[h.num] = append(had, c)
}
