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

const (
	dialTimeout     = time.Second
	relayRetryDelay = 50 * time.Millisecond // before another relay is tried
	maxBackoffSteps = 10                    // times that a client's backoff doubles
	backoffSpread   = 0.2                   // part of a wait that is drawn beside it
	maxAdviceMS     = 1_000_000_000         // a longer Retry-After is damage
)

// Streams of draws.
const (
	submissionIDStream  = 77
	heedRetryStream     = 78 // whether a client heeds a Retry-After
	backoffSpreadStream = 79
)

// Fields that mark a submission as a repeated one.
const (
	afterNoReply   = "again=1"
	afterRejection = "r=1"
)

// submission is one attempt of a client to submit a message.
type submission struct {
	id        string
	message   int
	relay     int
	attempt   int
	accepted  bool // its client has the reply
	delivered bool // perhaps before its client had the reply
	finished  bool // nothing more comes of it
}

// submit submits a message once, to the first relay that takes a connection, and handles the
// reply.
func (d *Driver) submit(index, attempt int, mark string) {
	avoided := noRelay
	for {
		left := d.timeLeft(index)
		if left <= 0 || d.ctx.Err() != nil {
			d.finish(index, Unanswered)
			return
		}
		relay := d.pickRelay(avoided)
		if relay == noRelay {
			if !d.sleep(relayRetryDelay) {
				return
			}
			continue
		}
		wait := min(dialTimeout, time.Duration(left)*time.Microsecond)
		conn, reused, err := d.pools[relay].acquire(d.ctx, wait)
		if err == nil {
			d.send(d.newSubmission(index, attempt, relay), conn, reused, mark)
			return
		}
		d.unserved.Add(1)
		avoided = relay
		if !d.sleep(relayRetryDelay) {
			return
		}
	}
}

// sleep waits, and reports whether the driver still runs.
func (d *Driver) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

func (d *Driver) newSubmission(index, attempt, relay int) *submission {
	id := seededrand.Hash(d.config.Plan.Seed, submissionIDStream, uint64(index), uint64(attempt))
	s := &submission{id: fmt.Sprintf("%016x", id), message: index, relay: relay, attempt: attempt}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.submissions[s.id] = s
	d.messages[index].Submissions++
	return s
}

// send sends a submission over a connection, and handles its reply. reused says that the
// connection was kept open.
func (d *Driver) send(s *submission, conn *conn, reused bool, mark string) {
	arrival := &d.config.Plan.Arrivals[s.message]
	left := d.timeLeft(s.message)
	conn.request = appendSubmission(conn.request[:0], d.config.Plan, arrival, s.id, left, mark, d.body)
	d.config.Emit(event.Event{
		At: d.config.Clock(), Kind: event.Submitted, ID: s.id, Message: s.message, Relay: s.relay, Left: left,
	})
	timeout := time.Duration(scenario.Microseconds(d.config.Plan.Scenario.Clients.ReplyTimeoutMS)) * time.Microsecond
	conn, written, reply, err := d.exchange(s.relay, conn, reused, time.Now().Add(timeout))
	now := d.config.Clock()
	if s.attempt == 0 {
		d.record(d.replyLatency, now-d.arrival(s.message))
	}
	if err != nil {
		d.handleNoReply(s, conn, written, err, now)
		return
	}
	conn.answered = true
	d.pools[s.relay].release(conn)
	d.handleReply(s, reply, now)
}

// exchange sends a connection's request and reads the reply. A relay may have closed a
// connection that was kept: then the request is sent once more over a new one. It returns the
// connection that was used last, nil where that is closed.
func (d *Driver) exchange(
	relay int, used *conn, reused bool, deadline time.Time,
) (last *conn, written bool, reply string, err error) {
	written, reply, err = used.roundTrip(deadline)
	if err == nil || !reused || errors.Is(err, errTimeout) {
		return used, written, reply, err
	}
	d.unserved.Add(1)
	d.pools[relay].discard(used)
	fresh, _, dialErr := d.pools[relay].acquireNew(d.ctx, time.Until(deadline))
	if dialErr != nil {
		return nil, false, "", err
	}
	fresh.request = append(fresh.request[:0], used.request...)
	written, reply, err = fresh.roundTrip(deadline)
	return fresh, written, reply, err
}

// handleNoReply handles a submission that was not answered: its client comes again. conn is
// nil where it is closed already.
func (d *Driver) handleNoReply(s *submission, conn *conn, written bool, err error, now event.Time) {
	if conn != nil {
		d.pools[s.relay].discard(conn)
	}
	e := event.Event{At: now, Kind: event.ClientTimedOut, ID: s.id, Text: err.Error()}
	if written && !errors.Is(err, errTimeout) {
		e.Kind = event.ConnectionEnded
		d.unserved.Add(1)
		if !conn.answered {
			e.Status = 1
		}
	}
	d.setFinished(s)
	d.config.Emit(e)
	d.resubmit(s.message, s.attempt, afterNoReply, 0)
}

// handleReply handles the reply to a submission.
func (d *Driver) handleReply(s *submission, reply string, now event.Time) {
	switch advice, busy := strings.CutPrefix(reply, "-BUSY"); {
	case reply != "" && reply[0] != '-':
		d.config.Emit(event.Event{At: now, Kind: event.Accepted, ID: s.id})
		d.mu.Lock()
		s.accepted = true
		delivered := s.delivered
		d.mu.Unlock()
		if delivered {
			d.finish(s.message, Delivered)
		}
	case busy:
		retryAfter := parseRetryAfter(advice)
		d.setFinished(s)
		d.config.Emit(event.Event{At: now, Kind: event.Rejected, ID: s.id, Wait: retryAfter})
		d.handleRejection(s.message, s.attempt, retryAfter)
	default:
		d.setFinished(s)
		d.config.Emit(event.Event{At: now, Kind: event.Failed, ID: s.id, Text: reply})
		d.finish(s.message, Failed)
	}
}

// parseRetryAfter reads the milliseconds after which a client may come again, 0 for none.
func parseRetryAfter(text string) event.Time {
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 || ms > maxAdviceMS {
		return 0
	}
	return ms * 1000
}

func (d *Driver) setFinished(s *submission) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.finished = true
}

// handleRejection has a message's client come again after its backoff, or after the time
// that it was told and heeds. It does not come at all after its last retry, or where the wait
// is beyond the deadline.
func (d *Driver) handleRejection(index, attempt int, retryAfter event.Time) {
	d.mu.Lock()
	d.messages[index].Rejections++
	d.mu.Unlock()
	clients := &d.config.Plan.Scenario.Clients
	steps := float64(min(attempt, maxBackoffSteps))
	wait := scenario.Microseconds(clients.BackoffMS * math.Pow(2, steps))
	if retryAfter > 0 && d.draw(heedRetryStream, index, attempt) < clients.RetryAfterShare {
		wait = retryAfter
	}
	// Those who were rejected together do not come again together.
	wait += event.Time(float64(wait) * backoffSpread * d.draw(backoffSpreadStream, index, attempt))
	if attempt >= clients.Retries || wait >= d.timeLeft(index) {
		d.finish(index, Rejected)
		return
	}
	d.resubmit(index, attempt, afterRejection, wait)
}

// draw draws a number from 0 to 1 for an attempt of a message.
func (d *Driver) draw(stream uint64, index, attempt int) float64 {
	return seededrand.Float64(d.config.Plan.Seed, stream, uint64(index), uint64(attempt))
}

// resubmit submits a message anew after a wait, unless its client has come often enough.
func (d *Driver) resubmit(index, attempt int, mark string, wait event.Time) {
	if attempt >= d.config.Plan.Scenario.Clients.Retries+1 {
		d.finish(index, Unanswered)
		return
	}
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		if d.sleep(time.Duration(wait) * time.Microsecond) {
			d.submit(index, attempt+1, mark)
		}
	}()
}

// HandleEvent takes deliveries and notices from the rest of the rehearsal.
func (d *Driver) HandleEvent(e *event.Event) {
	delivered := e.Kind == event.CallEnded && e.Status == event.StatusDelivered
	if !delivered && e.Kind != event.NoticeReceived {
		return
	}
	s, accepted := d.finishSubmission(e.ID, delivered)
	switch {
	case s == nil:
	case delivered && accepted:
		d.finish(s.message, Delivered)
	case delivered: // it ends for its client with the reply
	case e.Status == event.NoticeReturned:
		d.handleRejection(s.message, s.attempt, e.Wait)
	default:
		d.finish(s.message, Failed)
	}
}

// finishSubmission marks a submission as finished, and reports whether its client has the
// reply. It returns nil where there is none, or where it was finished already.
func (d *Driver) finishSubmission(id string, delivered bool) (s *submission, accepted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s = d.submissions[id]
	if s == nil || s.finished {
		return nil, false
	}
	s.finished = true
	s.delivered = s.delivered || delivered
	return s, s.accepted
}
