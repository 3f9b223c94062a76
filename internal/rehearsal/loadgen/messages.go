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

// submit hands a message in, once, and books what its client heard.
func (d *Driver) submit(num, try int, mark string) {
	avoid := -1
	for {
		left := d.timeLeft(num)
		if left <= 0 || d.ctx.Err() != nil {
			d.finish(num, Unanswered)
			return
		}
		relay := d.pickRelay(avoid)
		if relay < 0 {
			if !d.sleep(relayRetryDelay) {
				return
			}
			continue
		}
		c, kept, err := d.pools[relay].acquire(d.ctx, min(dialTimeout, time.Duration(left)*time.Microsecond))
		if err != nil { // nobody is there: the front deals another
			d.unserved.Add(1)
			avoid = relay
			if !d.sleep(relayRetryDelay) {
				return
			}
			continue
		}
		d.sendSubmission(num, try, relay, mark, c, kept)
		return
	}
}

func (d *Driver) sleep(t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// sendSubmission hands a message in over a connection.
func (d *Driver) sendSubmission(num, try, relay int, mark string, c *conn, kept bool) {
	a := &d.config.Plan.Arrivals[num]
	h := &submission{
		id: fmt.Sprintf("%016x", seededrand.Hash(d.config.Plan.Seed, 77, uint64(num), uint64(try))), message: num,
		relay: relay, attempt: try,
	}
	d.mu.Lock()
	d.submissions[h.id] = h
	d.messages[num].Submissions++
	d.mu.Unlock()
	left := d.timeLeft(num)
	c.request = appendSubmission(c.request[:0], d.config.Plan, a, h.id, left, mark, d.body)
	d.config.Emit(
		event.Event{At: d.config.Clock(), Kind: event.HandIn, ID: h.id, Message: num, Relay: relay, Left: left},
	)
	wait := time.Duration(scenario.Microseconds(d.config.Plan.Scenario.Clients.ReplyTimeoutMS)) * time.Microsecond
	limit := time.Now().Add(wait)
	written, reply, err := c.roundTrip(limit)
	if err != nil && kept && !errors.Is(err, errTimeout) {
		// The relay closed it between two requests; it is sent once more.
		d.unserved.Add(1)
		d.pools[relay].discard(c)
		fresh, _, derr := d.pools[relay].acquireNew(d.ctx, time.Until(limit))
		if derr == nil {
			fresh.request = append(fresh.request[:0], c.request...)
			c = fresh
			written, reply, err = c.roundTrip(limit)
		} else {
			c, written = nil, false
		}
	}
	now := d.config.Clock()
	if try == 0 {
		d.mu.Lock()
		_ = d.replyLatency.RecordValue(max(now-d.config.Start-a.At, 1)) // as above
		d.mu.Unlock()
	}
	if err != nil {
		if c != nil {
			d.pools[relay].discard(c)
		}
		what := event.Event{At: now, Kind: event.GivenUp, ID: h.id, Text: err.Error()}
		if written && !errors.Is(err, errTimeout) {
			what.Kind = event.CutOff
			d.unserved.Add(1)
			if !c.answered {
				what.Status = 1
			}
		}
		d.mu.Lock()
		h.finished = true
		d.mu.Unlock()
		d.config.Emit(what)
		d.resubmit(num, try, "again=1", 0)
		return
	}
	c.answered = true
	d.pools[relay].release(c)
	d.handleReply(h, reply, now)
}

// handleReply books an answer.
func (d *Driver) handleReply(h *submission, reply string, now event.Time) {
	switch ms, busy := strings.CutPrefix(reply, "-BUSY"); {
	case reply != "" && reply[0] != '-':
		d.config.Emit(event.Event{At: now, Kind: event.Accepted, ID: h.id})
		d.mu.Lock()
		h.accepted = true
		delivered := h.delivered
		d.mu.Unlock()
		if delivered {
			d.finish(h.message, Delivered)
		}
	case busy:
		wait, err := strconv.ParseInt(strings.TrimSpace(ms), 10, 64)
		if err != nil || wait < 0 || wait > 1e9 {
			wait = 0
		}
		d.mu.Lock()
		h.finished = true
		d.mu.Unlock()
		d.config.Emit(event.Event{At: now, Kind: event.Refused, ID: h.id, Wait: wait * 1000})
		d.handleRejection(h.message, h.attempt, wait*1000)
	default:
		d.mu.Lock()
		h.finished = true
		d.mu.Unlock()
		d.config.Emit(event.Event{At: now, Kind: event.Failed, ID: h.id, Text: reply})
		d.finish(h.message, Failed)
	}
}

// handleRejection: the client comes again after a while, if it does.
func (d *Driver) handleRejection(num, try int, advice event.Time) {
	d.mu.Lock()
	d.messages[num].Rejections++
	d.mu.Unlock()
	cl := &d.config.Plan.Scenario.Clients
	wait := scenario.Microseconds(cl.BackoffMS * math.Pow(2, float64(min(try, 10))))
	if advice > 0 && seededrand.Float64(d.config.Plan.Seed, 78, uint64(num), uint64(try)) < cl.RetryAfterShare {
		wait = advice
	}
	// Spread, so that those who were refused together do not come together.
	wait += event.Time(float64(wait) * 0.2 * seededrand.Float64(d.config.Plan.Seed, 79, uint64(num), uint64(try)))
	if try >= cl.Retries || wait >= d.timeLeft(num) {
		d.finish(num, Rejected)
		return
	}
	d.resubmit(num, try, "r=1", wait)
}

// resubmit hands a message in anew after a while.
func (d *Driver) resubmit(num, try int, mark string, wait event.Time) {
	if try >= d.config.Plan.Scenario.Clients.Retries+1 {
		d.finish(num, Unanswered)
		return
	}
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		if d.sleep(time.Duration(wait) * time.Microsecond) {
			d.submit(num, try+1, mark)
		}
	}()
}

// HandleEvent takes deliveries and notices from the rest of the rehearsal.
func (d *Driver) HandleEvent(e *event.Event) {
	d.mu.Lock()
	h := d.submissions[e.ID]
	if h == nil || h.finished {
		d.mu.Unlock()
		return
	}
	switch {
	case e.Kind == event.CallEnded && e.Status == event.StatusDelivered:
		h.delivered, h.finished = true, true
		heard := h.accepted
		d.mu.Unlock()
		if heard {
			d.finish(h.message, Delivered)
		}
		return
	case e.Kind == event.Noticed:
		h.finished = true
		d.mu.Unlock()
		if e.Status == event.NoticeHandedBack {
			d.handleRejection(h.message, h.attempt, e.Wait)
		} else {
			d.finish(h.message, Failed)
		}
		return
	}
	d.mu.Unlock()
}

// finish books a message's end.
func (d *Driver) finish(num int, how Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &d.messages[num]
	if m.Outcome != Pending {
		return
	}
	m.Outcome, m.Elapsed = how, d.config.Clock()-d.config.Start-d.config.Plan.Arrivals[num].At
	if how == Delivered {
		_ = d.deliveryLatency.RecordValue(max(m.Elapsed, 1)) // as above
	}
	if d.pending--; d.pending == 0 {
		close(d.done)
	}
}

// appendSubmission writes a hand-in in RESP2.
func appendSubmission(
	b []byte,
	p *scenario.Plan,
	a *scenario.Arrival,
	id string,
	left event.Time,
	mark, body string,
) []byte {
	b = append(b, "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n"...)
	b = appendBulkString(b, id)
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
	fields = strconv.AppendInt(fields, int64(a.Destination), 10)
	if mark != "" {
		fields = append(append(fields, ','), mark...)
	}
	b = appendBulkString(b, string(fields))
	return appendBulkString(b, body)
}

func appendBulkString(b []byte, s string) []byte {
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(len(s)), 10)
	b = append(b, "\r\n"...)
	b = append(b, s...)
	return append(b, "\r\n"...)
}
