package main

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"
)

// Figures of the settings, and of the partner of this case.
const (
	coldRelays   = 12
	coldDest     = 5
	coldTraffic  = 49.0 // messages a second for the partner: 27% of 15 a second for each relay
	coldLimit    = 52.0 // calls a second that the list gives for it
	coldFull     = 60.0 // calls a second that it can do when warm: 1.15 times its limit
	coldOutage   = 12 * time.Second
	coldListLate = 800 * time.Millisecond // the list says that the machines are new so long after they serve
)

// coldPartner stands in for a partner that goes silent and comes back cold.
type coldPartner struct {
	world    *world
	mu       sync.Mutex
	from, to time.Time // of the outage
	replaced bool      // its machines do not come back: new ones replace them
	tokens   float64
	at       time.Time
	inOutage map[string]bool // messages whose call came during the outage
	reached  []arrival       // calls that came after it
}

type arrival struct {
	id string
	at time.Time
}

// capacity returns the calls a second that the partner can do at a time.
func (p *coldPartner) capacity(t time.Time) float64 {
	if p.to.IsZero() || t.Before(p.to) {
		return coldFull
	}
	return coldFull * math.Min(1, 0.26+0.74*t.Sub(p.to).Seconds()/13)
}

// decide answers a call to one of the partner's endpoints.
func (p *coldPartner) decide(old bool) func(c *call) answer {
	return func(c *call) answer {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		began := !p.from.IsZero() && now.After(p.from)
		if began && (now.Before(p.to) || old && p.replaced) {
			p.inOutage[c.id] = true
			return answer{status: 0}
		}
		if began {
			p.reached = append(p.reached, arrival{c.id, now})
		}
		rate := p.capacity(now)
		p.tokens = math.Min(p.tokens+now.Sub(p.at).Seconds()*rate, 0.8*rate)
		p.at = now
		if p.tokens < 1 {
			return answer{delay: 5 * time.Millisecond, status: 503}
		}
		p.tokens--
		return answer{delay: 150 * time.Millisecond, status: 200}
	}
}

// caseCold: a partner goes silent and comes back cold, on new machines that have new ids in the list.
func caseCold(w *world) bool {
	p := &coldPartner{world: w, at: time.Now(), inOutage: map[string]bool{}, replaced: w.trouble}
	halls := []string{"dvorana-a", "dvorana-b"}
	var members []member
	for i, hall := range halls {
		e := w.newEndpoint(fmt.Sprintf("s-old-%d", i), p.decide(true))
		members = append(members, e.member(hall, "dostava", coldDest, coldLimit))
	}
	for i, hall := range halls {
		e := w.newEndpoint(fmt.Sprintf("s-new-%d", i), p.decide(false))
		m := e.member(hall, "dostava", coldDest, coldLimit)
		m.Phase = "removed"
		members = append(members, m)
	}
	for i := range coldRelays {
		name := fmt.Sprintf("n%d", i+1)
		w.newRelay(name, smallDeployment(coldRelays), w.newAgent("agent-"+name, members)).start()
	}
	l := newLoad()
	for _, r := range w.relays {
		for k := range 4 {
			interval := 4 * coldRelays / coldTraffic
			l.run(w, r, time.Duration(interval*float64(time.Second)), func() *message {
				m := &message{id: newID("9b1f03aa"), class: "termin", dest: coldDest, lifetime: 8 * time.Second, body: "{}"}
				if k%2 == 0 {
					m.class, m.key, m.lifetime = "narudzba", newID("5c0f"), 20*time.Second
				}
				return m
			})
		}
	}
	time.Sleep(8 * time.Second)
	p.mu.Lock()
	p.from = time.Now()
	p.to = p.from.Add(coldOutage)
	p.mu.Unlock()
	w.log("the partner goes silent until %.3f", w.since(p.to))
	time.Sleep(time.Until(p.to.Add(coldListLate)))
	if w.trouble {
		for _, r := range w.relays {
			r.agent.set("up", "s-new-0", "s-new-1")
			r.agent.set("removed", "s-old-0", "s-old-1")
		}
	}
	time.Sleep(time.Until(p.to.Add(15 * time.Second)))
	return p.judge(l.end())
}

// judge reports whether the partner fell over while it was cold, by the work of relays that had seen its outage.
func (p *coldPartner) judge(messages []*message) bool {
	w := p.world
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, saw := map[string]*relay{}, map[*relay]bool{}
	for _, m := range messages {
		owner[m.id] = m.relay
		if p.inOutage[m.id] {
			saw[m.relay] = true
		}
	}
	sort.Slice(p.reached, func(i, j int) bool { return p.reached[i].at.Before(p.reached[j].at) })
	worst, fell := 0.0, false
	line := "no call reached the partner after its outage"
	for i, first := range p.reached {
		end := first.at.Add(2 * time.Second)
		if end.After(p.to.Add(13 * time.Second)) {
			break // it is warm
		}
		count, guilty := 0, 0
		for _, a := range p.reached[i:] {
			if a.at.After(end) {
				break
			}
			count++
			if saw[owner[a.id]] {
				guilty++
			}
		}
		n := 1.5 * 2 * p.capacity(end) // what it could take at the end of the window, the most in it
		most := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			most = n + 3*math.Sqrt(n) + 3
		}
		if ratio := float64(count) / most; ratio > worst {
			worst = ratio
			line = fmt.Sprintf("worst 2 s: %d calls from %.2f s after the return on, where it falls at more than %.1f; "+
				"%d of them from relays that had seen a call fail in the outage", count, first.at.Sub(p.to).Seconds(), most, guilty)
		}
		fell = fell || float64(count) > most && 3*guilty > 2*count
	}
	require(len(saw) > 0, "no relay saw the outage")
	w.say("calls in the outage: %d, of %d of %d relays; %s", len(p.inOutage), len(saw), len(w.relays), line)
	return fell
}
