package loadgen

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/seededrand"
)

// handIn hands a message in, once, and books what its client heard.
func (d *Driver) handIn(num, try int, mark string) {
	avoid := -1
	for {
		left := d.left(num)
		if left <= 0 || d.quit.Err() != nil {
			d.end(num, Unheard)
			return
		}
		relay := d.deal(avoid)
		if relay < 0 {
			if !d.sleep(frontWait) {
				return
			}
			continue
		}
		c, kept, err := d.conns[relay].get(d.quit, min(dialWait, time.Duration(left)*time.Microsecond))
		if err != nil { // nobody is there: the front deals another
			d.door.Add(1)
			avoid = relay
			if !d.sleep(frontWait) {
				return
			}
			continue
		}
		d.talk(num, try, relay, mark, c, kept)
		return
	}
}

func (d *Driver) sleep(t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.quit.Done():
		return false
	}
}

// talk hands a message in over a connection.
func (d *Driver) talk(num, try, relay int, mark string, c *conn, kept bool) {
	a := &d.cfg.Plan.Arrivals[num]
	h := &hand{
		id: fmt.Sprintf("%016x", seededrand.Hash(d.cfg.Plan.Seed, 77, uint64(num), uint64(try))), num: num,
		relay: relay, try: try,
	}
	d.mu.Lock()
	d.ids[h.id] = h
	d.messages[num].HandIns++
	d.mu.Unlock()
	left := d.left(num)
	c.text = put(c.text[:0], d.cfg.Plan, a, h.id, left, mark, d.body)
	d.cfg.Emit(event.Event{At: d.cfg.Clock(), Kind: event.HandIn, ID: h.id, Message: num, Relay: relay, Left: left})
	wait := time.Duration(scenario.Micros(d.cfg.Plan.Scenario.Clients.AnswerMS)) * time.Microsecond
	limit := time.Now().Add(wait)
	written, reply, err := c.ask(limit)
	if err != nil && kept && !errors.Is(err, errTimeout) {
		// The relay closed it between two requests; it is sent once more.
		d.door.Add(1)
		d.conns[relay].drop(c)
		fresh, _, derr := d.conns[relay].dial(d.quit, time.Until(limit))
		if derr == nil {
			fresh.text = append(fresh.text[:0], c.text...)
			c = fresh
			written, reply, err = c.ask(limit)
		} else {
			c, written = nil, false
		}
	}
	now := d.cfg.Clock()
	if try == 0 {
		d.mu.Lock()
		_ = d.answers.RecordValue(max(now-d.cfg.Start-a.At, 1)) // as above
		d.mu.Unlock()
	}
	if err != nil {
		if c != nil {
			d.conns[relay].drop(c)
		}
		what := event.Event{At: now, Kind: event.GivenUp, ID: h.id, Text: err.Error()}
		if written && !errors.Is(err, errTimeout) {
			what.Kind = event.CutOff
			d.door.Add(1)
			if !c.used {
				what.Status = 1
			}
		}
		d.mu.Lock()
		h.over = true
		d.mu.Unlock()
		d.cfg.Emit(what)
		d.again(num, try, "again=1", 0)
		return
	}
	c.used = true
	d.conns[relay].put(c)
	d.heard(h, reply, now)
}

// heard books an answer.
func (d *Driver) heard(h *hand, reply string, now event.Time) {
	switch ms, busy := strings.CutPrefix(reply, "-BUSY"); {
	case reply != "" && reply[0] != '-':
		d.cfg.Emit(event.Event{At: now, Kind: event.Accepted, ID: h.id})
		d.mu.Lock()
		h.heard = true
		delivered := h.delivered
		d.mu.Unlock()
		if delivered {
			d.end(h.num, Delivered)
		}
	case busy:
		wait, err := strconv.ParseInt(strings.TrimSpace(ms), 10, 64)
		if err != nil || wait < 0 || wait > 1e9 {
			wait = 0
		}
		d.mu.Lock()
		h.over = true
		d.mu.Unlock()
		d.cfg.Emit(event.Event{At: now, Kind: event.Refused, ID: h.id, Wait: wait * 1000})
		d.refused(h.num, h.try, wait*1000)
	default:
		d.mu.Lock()
		h.over = true
		d.mu.Unlock()
		d.cfg.Emit(event.Event{At: now, Kind: event.Failed, ID: h.id, Text: reply})
		d.end(h.num, Failed)
	}
}

// refused: the client comes again after a while, if it does.
func (d *Driver) refused(num, try int, advice event.Time) {
	d.mu.Lock()
	d.messages[num].Refusals++
	d.mu.Unlock()
	cl := &d.cfg.Plan.Scenario.Clients
	wait := scenario.Micros(cl.BackoffMS * math.Pow(2, float64(min(try, 10))))
	if advice > 0 && seededrand.Float64(d.cfg.Plan.Seed, 78, uint64(num), uint64(try)) < cl.Honour {
		wait = advice
	}
	// Spread, so that those who were refused together do not come together.
	wait += event.Time(float64(wait) * 0.2 * seededrand.Float64(d.cfg.Plan.Seed, 79, uint64(num), uint64(try)))
	if try >= cl.Retries || wait >= d.left(num) {
		d.end(num, Refused)
		return
	}
	d.again(num, try, "r=1", wait)
}

// again hands a message in anew after a while.
func (d *Driver) again(num, try int, mark string, wait event.Time) {
	if try >= d.cfg.Plan.Scenario.Clients.Retries+1 {
		d.end(num, Unheard)
		return
	}
	d.waits.Add(1)
	go func() {
		defer d.waits.Done()
		if d.sleep(time.Duration(wait) * time.Microsecond) {
			d.handIn(num, try+1, mark)
		}
	}()
}

// Happened takes deliveries and notices from the rest of the rehearsal.
func (d *Driver) Happened(e *event.Event) {
	d.mu.Lock()
	h := d.ids[e.ID]
	if h == nil || h.over {
		d.mu.Unlock()
		return
	}
	switch {
	case e.Kind == event.CallEnded && e.Status == event.StatusDelivered:
		h.delivered, h.over = true, true
		heard := h.heard
		d.mu.Unlock()
		if heard {
			d.end(h.num, Delivered)
		}
		return
	case e.Kind == event.Noticed:
		h.over = true
		d.mu.Unlock()
		if e.Status == event.NoticeHandedBack {
			d.refused(h.num, h.try, e.Wait)
		} else {
			d.end(h.num, Failed)
		}
		return
	}
	d.mu.Unlock()
}

// end books a message's end.
func (d *Driver) end(num int, how End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &d.messages[num]
	if m.End != Pending {
		return
	}
	m.End, m.At = how, d.cfg.Clock()-d.cfg.Start-d.cfg.Plan.Arrivals[num].At
	if how == Delivered {
		_ = d.delivery.RecordValue(max(m.At, 1)) // as above
	}
	if d.open--; d.open == 0 {
		close(d.done)
	}
}

// put writes a hand-in in RESP2.
func put(b []byte, p *scenario.Plan, a *scenario.Arrival, id string, left event.Time, mark, body string) []byte {
	b = append(b, "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n"...)
	b = bulk(b, id)
	fields := make([]byte, 0, 160)
	fields = append(fields, "c="...)
	fields = append(fields, p.Scenario.Classes[a.Class].Name...)
	fields = append(fields, ",t="...)
	fields = append(fields, p.Scenario.Portals[a.Portal].Name...)
	fields = append(fields, ",d="...)
	fields = strconv.AppendInt(fields, max(left/1000, 1), 10)
	if a.Key != "" {
		fields = append(append(fields, ",k="...), a.Key...)
	}
	fields = append(fields, ",dest="...)
	fields = strconv.AppendInt(fields, int64(a.Dest), 10)
	if mark != "" {
		fields = append(append(fields, ','), mark...)
	}
	b = bulk(b, string(fields))
	return bulk(b, body)
}

func bulk(b []byte, s string) []byte {
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(s)), 10)
	b = append(b, "\r\n"...)
	b = append(b, s...)
	return append(b, "\r\n"...)
}
