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
	relayRetryDelay = 50 * time.Millisecond // before a client connects to another relay
	maxBackoffSteps = 10                    // how often a client's backoff doubles at most
	backoffJitter   = 0.2                   // largest random addition to a wait, as a share of it
	maxRetryAfterMS = 1_000_000_000         // a longer Retry-After is treated as malformed
)

// Random streams of the plan's seed.
const (
	submissionIDStream    = 77
	honorRetryAfterStream = 78 // whether a client waits for the time of a Retry-After
	backoffJitterStream   = 79
)

// Fields that state why a client submits a message again.
const (
	afterNoReply   = "again=1"
	afterRejection = "r=1"
)

// submission is one attempt of a client to submit a message. Each has an ID of its own.
type submission struct {
	id        string
	message   int // index in the plan
	relay     int
	attempt   int
	accepted  bool // the client received the reply that accepts it
	delivered bool // possibly before the client received the reply
	finished  bool // later deliveries and notices are ignored
}

// submit submits a message to the first relay that accepts a connection, and handles the reply.
// A relay that refuses the connection is skipped at the next pick. The message ends as
// Unanswered if its deadline passes first.
func (d *Driver) submit(index, attempt int, retryField string) {
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
		conn, reused, err := d.acquire(relay, wait)
		if err == nil {
			d.send(d.newSubmission(index, attempt, relay), conn, reused, retryField)
			return
		}
		if !errors.Is(err, errTimeout) && !errors.Is(err, errNoConnection) { // those reached no relay
			d.unserved.Add(1)
		}
		avoided = relay
		if !d.sleep(relayRetryDelay) {
			return
		}
	}
}

// acquire returns a connection to a relay: one that is open already if the relay shuts down, otherwise any.
func (d *Driver) acquire(relay int, wait time.Duration) (c *conn, reused bool, err error) {
	d.mu.Lock()
	state := d.relayStates[relay]
	d.mu.Unlock()
	if state.accepts(d.config.Clock()) {
		return d.pools[relay].acquire(d.ctx, wait)
	}
	if c := d.pools[relay].acquireIdle(); c != nil {
		return c, true, nil
	}
	return nil, false, errNoConnection
}

// sleep waits. It returns false at once when the driver is closed, else true after the wait.
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

// send sends a submission over a connection, and handles its reply. reused reports whether the
// connection was open before this submission.
func (d *Driver) send(s *submission, conn *conn, reused bool, retryField string) {
	arrival := &d.config.Plan.Arrivals[s.message]
	left := d.timeLeft(s.message)
	conn.request = appendSubmission(conn.request[:0], d.config.Plan, arrival, s.id, left, retryField, d.body)
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

// exchange sends the request of the connection used and reads the reply. A relay may close an
// idle connection at any time, so if a reused connection fails other than by a timeout,
// exchange sends the request once more over a new connection, unless the relay has read it. It
// returns the connection that it used last, or nil if that is already closed.
func (d *Driver) exchange(
	relay int, used *conn, reused bool, deadline time.Time,
) (last *conn, written bool, reply string, err error) {
	written, reply, err = used.roundTrip(deadline)
	if err == nil || !reused || errors.Is(err, errTimeout) || written && used.endedAfterReading(err) {
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

// handleNoReply handles a submission that got no reply: it closes the connection, emits an event, and
// the client submits the message again. If the relay closed the connection, the event's Status says
// whether the submission was the first request on it (1) or not (0). The checker needs this, because a
// relay with too many clients may close a connection at its first request, but not later. conn is nil
// if it is already closed.
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

// handleReply handles the reply to a submission. If the relay accepted the message, the message stays
// pending until an endpoint gets it or a notice arrives. If the relay was busy, the client may submit
// the message again. Any other error ends the message as Failed.
func (d *Driver) handleReply(s *submission, reply string, now event.Time) {
	switch retryAfterText, busy := strings.CutPrefix(reply, "-BUSY"); {
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
		retryAfter := parseRetryAfter(retryAfterText)
		d.setFinished(s)
		d.config.Emit(event.Event{At: now, Kind: event.Rejected, ID: s.id, Wait: retryAfter})
		d.handleRejection(s.message, s.attempt, retryAfter)
	default:
		d.setFinished(s)
		d.config.Emit(event.Event{At: now, Kind: event.Failed, ID: s.id, Text: reply})
		d.finish(s.message, Failed)
	}
}

// parseRetryAfter parses the number of milliseconds after which the client may submit again.
// It returns 0 if there is no number or it is malformed.
func parseRetryAfter(text string) event.Time {
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 || ms > maxRetryAfterMS {
		return 0
	}
	return ms * 1000
}

func (d *Driver) setFinished(s *submission) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.finished = true
}

// handleRejection schedules the next submission of a rejected message. The client waits for its
// exponential backoff, or, if it honors the Retry-After that it received, for that time. The
// message ends as Rejected if the client has no retry left or if the wait would pass the
// deadline.
func (d *Driver) handleRejection(index, attempt int, retryAfter event.Time) {
	d.mu.Lock()
	d.messages[index].Rejections++
	d.mu.Unlock()
	clients := &d.config.Plan.Scenario.Clients
	steps := float64(min(attempt, maxBackoffSteps))
	wait := scenario.Microseconds(clients.BackoffMS * math.Pow(2, steps))
	if retryAfter > 0 && d.draw(honorRetryAfterStream, index, attempt) < clients.RetryAfterShare {
		wait = retryAfter
	}
	// The jitter keeps clients that were rejected at the same time from submitting again at the
	// same time.
	wait += event.Time(float64(wait) * backoffJitter * d.draw(backoffJitterStream, index, attempt))
	if attempt >= clients.Retries || wait >= d.timeLeft(index) {
		d.finish(index, Rejected)
		return
	}
	d.resubmit(index, attempt, afterRejection, wait)
}

// draw returns a random number between 0 and 1 for an attempt of a message. It is the same in
// each run of a plan.
func (d *Driver) draw(stream uint64, index, attempt int) float64 {
	return seededrand.Float64(d.config.Plan.Seed, stream, uint64(index), uint64(attempt))
}

// resubmit submits a message again after a wait. The message ends as Unanswered if the client
// has used up its retries.
func (d *Driver) resubmit(index, attempt int, retryField string, wait event.Time) {
	if attempt >= d.config.Plan.Scenario.Clients.Retries+1 {
		d.finish(index, Unanswered)
		return
	}
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		if d.sleep(time.Duration(wait) * time.Microsecond) {
			d.submit(index, attempt+1, retryField)
		}
	}()
}

// HandleEvent processes the deliveries that the endpoint emulator reports, and the notices that the
// registry emulator received: reports of a relay that it gave an accepted message up, or handed it back
// to the client, which may submit it again. HandleEvent ignores all other events.
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
	case delivered: // handleReply ends the message when the client receives the reply
	case e.Status == event.NoticeHandedBack:
		d.handleRejection(s.message, s.attempt, e.Wait)
	default:
		d.finish(s.message, Failed)
	}
}

// finishSubmission marks a submission as finished, and reports whether the client received the
// reply that accepts it. It returns nil if there is no such submission or if it was finished
// before.
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
