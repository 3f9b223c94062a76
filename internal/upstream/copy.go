package upstream

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"troutusher/internal/responsetime"
	"troutusher/policy"
)

// An endpoint may write a response twice, and the second copy may arrive after the last byte of the
// next call on the connection. Nothing in a response says which call it answers.
//
// A connection is settled once it has been silent for responsetime.CopyWindow after a response: no copy
// of that response is on its way any more. A call whose answer must not be in doubt is sent only on a
// settled connection, or on a new one (see needsSettled). Other calls prefer settled connections.
//
// Package responsetime decides which responses may be copies all the same. Such a response is
// unconfirmed until a time by which another one would have come:
//
//   - A delivery, and any response to a call that must not be repeated, is not reported before. The
//     message stays with its call, so that it is neither over nor sent again.
//   - A rejection or failure of a call that may be repeated is reported at once, and its connection
//     rests. If the message is sent again while it rests, the connection is closed first, so that
//     the two calls are never out at the same time.
//
// A delivery that is too early for the endpoint, on a connection that was not settled, does not count
// even if no other response comes: the endpoint may have fallen silent. The call may have run.
//
// While an endpoint is known to send copies, each of its connections carries one call.

var errImplausiblyEarly = errors.New("response is too early to answer this call: probably a copy of the one before")

// responseTimes is an endpoint's estimate of its response times, for concurrent use.
type responseTimes struct {
	mu       sync.Mutex
	estimate responsetime.Estimate
}

func (t *responseTimes) add(elapsed time.Duration, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimate.Add(elapsed, first)
}

func (t *responseTimes) copySeen(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimate.CopySeen(now)
}

func (t *responseTimes) repeats(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate.Repeats(now)
}

func (t *responseTimes) doubted(elapsed time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimate.Doubted(elapsed, now)
}

func (t *responseTimes) inDoubt(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate.InDoubt(now)
}

func (t *responseTimes) judge(response responsetime.Response) responsetime.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate.Judge(response)
}

// needsSettled reports whether a call may use only a settled or a new connection: a wrong answer to it
// could not be mended by sending its message again, or the endpoint's last early answer was in doubt.
// An endpoint that is warming up is spared the new connections.
func (e *Endpoint) needsSettled(request *connRequest, now time.Time) bool {
	if request.warmingUp {
		return false
	}
	return !request.repeatable || e.times.inDoubt(now)
}

// settled reports whether no copy of the connection's last response can be on its way any more.
func (c *poolConn) settled(now time.Time) bool { return !now.Before(c.settledAt) }

// usableAt returns when an idle connection can be used by a call that may or may not need a settled one.
func (c *poolConn) usableAt(needsSettled bool) time.Time {
	if needsSettled && c.settledAt.After(c.reusableAt) {
		return c.settledAt
	}
	return c.reusableAt
}

// judge returns how far a response that has just arrived can be trusted. Only a response with the same
// status as the one before on the connection may be a copy.
func (c *poolConn) judge(status int) responsetime.Verdict {
	if c.status != status {
		return responsetime.Verdict{}
	}
	return c.endpoint.times.judge(responsetime.Response{
		SentAt: c.sentAt, ArrivedAt: time.Now(), SettledAt: c.settledAt, Delivery: status == http.StatusOK,
	})
}

// responseArrived records a response whose status line has arrived.
func (c *poolConn) responseArrived(status int) {
	c.status = status
	c.settledAt = time.Now().Add(responsetime.CopyWindow)
}

// unconfirmed reports whether the last response of the connection was reported although it may be
// a copy.
func (c *poolConn) unconfirmed(now time.Time) bool { return now.Before(c.unconfirmedUntil) }

// closeUnconfirmed closes the idle connections on which a call of a message may still be out. It is
// called before the message is sent again.
func (p *Pool) closeUnconfirmed(message string) {
	now := time.Now()
	p.closeIdleIf(func(c *poolConn) bool { return c.message == message && c.unconfirmed(now) })
}

// readConfirmed reads a response that may be a copy, and waits for another one until verdict.ConfirmBy:
//   - If another response comes, it is the answer to the call, and the first one was the copy.
//   - If nothing comes, the first one is the answer, unless it is implausible.
//   - If the wait is cut short, it is not known which of the two holds: the call may have run.
//
// timer is the read timeout of the first response. If nothing came, the connection can carry another
// call after it has rested for as long again.
func (c *poolConn) readConfirmed(
	verdict responsetime.Verdict,
	timer *time.Timer,
	status int,
	req *http.Request,
	loadFields []string,
	report func(Result),
) (keep bool) {
	arrivedAt := time.Now()
	var response Result
	if !c.readFinal(status, req, loadFields, func(result Result) { response = result }) {
		report(response) // malformed, or the last response of its connection, which is not a copy of one before
		return false
	}
	timer.Stop()
	switch more, err := c.awaitAnotherResponse(verdict.ConfirmBy); {
	case err != nil:
		report(Result{Outcome: policy.ConnectionReset, Err: err})
		return false
	case more:
		c.endpoint.times.copySeen(time.Now())
		if status, _ := c.readNext(req, loadFields, report); status == http.StatusOK {
			c.endpoint.times.add(time.Since(c.sentAt), false)
		}
		return false // a further copy may follow
	case verdict.Implausible:
		c.endpoint.times.doubted(arrivedAt.Sub(c.sentAt), time.Now())
		report(Result{Outcome: policy.ConnectionReset, Err: errImplausiblyEarly})
		return false
	}
	if status == http.StatusOK {
		c.endpoint.times.add(arrivedAt.Sub(c.sentAt), false)
	}
	response.confirmedAfter = time.Since(arrivedAt)
	// The true answer may be later still.
	c.unconfirmedUntil = verdict.ConfirmBy.Add(verdict.ConfirmBy.Sub(c.sentAt))
	report(response)
	return true
}

// awaitAnotherResponse reports whether more bytes arrive before the given time. It returns an error
// if the connection breaks or the call ends before that.
func (c *poolConn) awaitAnotherResponse(before time.Time) (more bool, err error) {
	timer := c.startReadTimeout(time.Until(before))
	_, err = c.reader.Peek(1)
	if waiting := timer.Stop(); !waiting && errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}
