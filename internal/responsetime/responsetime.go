// Package responsetime estimates how long an endpoint takes to answer a call, to tell whether a
// response can be the answer to the call that was just sent.
//
// HTTP/1.1 responses carry no identifier: the order on the connection alone assigns them to
// requests. An endpoint, or a proxy before it, that writes a response twice shifts that order, and
// the second copy may arrive at any moment of the next call. It is then read as the answer to that
// call. Three things tell a copy. Its status is that of the response before. It follows that
// response: a connection without new bytes for CopyWindow is settled, and carries no copy. And it is
// early: it was sent before the call reached the endpoint, so it is quicker than any answer to a call.
// After an endpoint has sent a copy, no such response within CopyWindow is trusted for some time, and
// its connections should carry one call each.
//
// The package uses no clock and no socket.
package responsetime

import "time"

const (
	// CopyWindow is how long after a response a copy of it may arrive, and how long after the last byte
	// of a call a response may be a copy.
	CopyWindow = 300 * time.Millisecond
	// repeatsFor is how long an endpoint that has sent a copy is expected to send more.
	repeatsFor = time.Minute
)

// Weights of a new sample in the mean and in the mean deviation, and the number of deviations
// within which nearly all samples lie: those of RFC 6298 (TCP's retransmission timer).
const (
	meanWeight       = 1.0 / 8
	deviationWeight  = 1.0 / 4
	deviationsToLate = 4

	firstDeviation = 1.0 / 4 // the mean deviation after the first sample, as a share of it
)

const (
	// farTooEarly is the share of the quickest answer below which a response is most likely a copy.
	// The first answers of an endpoint include handshakes, and may take several times as long as others.
	farTooEarly = 1.0 / 8
	// farTooEarlyWait is the shortest wait for the confirmation of such a response.
	farTooEarlyWait = 2 * CopyWindow
	// tooEarly is the share of the quickest answer on a connection that had carried calls before, below
	// which a response on a connection that is not settled is most likely a copy.
	tooEarly = 3.0 / 4
	// schedulingDelay is by how much response times vary because processes wait for the processor.
	schedulingDelay = 20 * time.Millisecond
)

// Estimate is an estimate of one endpoint's response times, from the last byte of a call to the
// first line of its answer with status 200. The zero value is an estimate without samples. It is
// not safe for concurrent use.
type Estimate struct {
	count           int
	quickest        time.Duration // of all answers; 0 without samples
	quickestReused  time.Duration // of the answers on connections that had carried calls before; 0 without
	mean, deviation time.Duration
	repeatsUntil    time.Time

	doubted      time.Duration // response time of the last response that was taken for a copy without proof
	doubtedUntil time.Time
}

// Response describes a response that has arrived on a connection whose previous response had the same
// status.
type Response struct {
	SentAt    time.Time // when the last byte of the call was written
	ArrivedAt time.Time
	SettledAt time.Time // when the connection was settled after its previous response, or will be
	Delivery  bool      // the status is 200
}

// Verdict is how far a response can be trusted. The zero value means that it is the answer to the call.
type Verdict struct {
	// ConfirmBy is the time by which another response would have come if this one is a copy.
	ConfirmBy time.Time
	// Implausible means that the response is no answer to the call even if no other one comes: then the
	// call may have run or not.
	Implausible bool
}

// Add adds the response time of an answer. first means that the call was the first on its connection,
// so that the time may include a handshake. If the response may be a copy of an earlier one, it is
// added only once it has been confirmed, or if it is not too early.
func (e *Estimate) Add(elapsed time.Duration, first bool) {
	if !first && (e.quickestReused == 0 || elapsed < e.quickestReused) {
		e.quickestReused = elapsed
	}
	e.count++
	if e.count == 1 {
		e.quickest, e.mean = elapsed, elapsed
		e.deviation = time.Duration(firstDeviation * float64(elapsed))
		return
	}
	e.quickest = min(e.quickest, elapsed)
	e.deviation += time.Duration(deviationWeight * float64((elapsed-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(elapsed-e.mean))
}

// CopySeen records that the endpoint has sent a copy of a response.
func (e *Estimate) CopySeen(now time.Time) { e.repeatsUntil = now.Add(repeatsFor) }

// Repeats reports whether the endpoint has sent a copy of a response in the last minute.
func (e *Estimate) Repeats(now time.Time) bool { return now.Before(e.repeatsUntil) }

// Doubted records that a response with an implausible verdict was not followed by another one.
func (e *Estimate) Doubted(elapsed time.Duration, now time.Time) {
	e.doubted, e.doubtedUntil = elapsed, now.Add(repeatsFor)
}

// InDoubt reports whether a response was taken for a copy in the last minute, and the endpoint has given
// no answer since that shows that it can be as quick. Answers on settled connections show that.
func (e *Estimate) InDoubt(now time.Time) bool {
	return now.Before(e.doubtedUntil) && e.implausible(e.doubted)
}

// Latest returns the time after a call's last byte by which its answer has nearly always come; 0
// without samples.
func (e *Estimate) Latest() time.Duration { return e.mean + deviationsToLate*e.deviation }

// Judge returns how far a response can be trusted. A delivery may be a copy if it is earlier than any
// before, if there is none, or if the endpoint has sent copies. Any other response may always be one,
// because endpoints may reject calls as quickly as a copy arrives.
func (e *Estimate) Judge(response Response) Verdict {
	elapsed := response.ArrivedAt.Sub(response.SentAt)
	if elapsed >= CopyWindow {
		return Verdict{}
	}
	if !response.Delivery {
		return Verdict{ConfirmBy: response.SentAt.Add(max(e.Latest(), CopyWindow))}
	}
	if response.ArrivedAt.Before(response.SettledAt) && e.implausible(elapsed) {
		return Verdict{ConfirmBy: response.SentAt.Add(max(e.Latest(), farTooEarlyWait)), Implausible: true}
	}
	switch {
	case float64(elapsed) < farTooEarly*float64(e.quickest):
		return Verdict{ConfirmBy: response.SentAt.Add(max(e.Latest(), farTooEarlyWait))}
	case e.count == 0, e.Repeats(response.ArrivedAt):
		return Verdict{ConfirmBy: response.SentAt.Add(max(e.Latest(), CopyWindow))}
	case elapsed < e.quickest: // a quick endpoint's true answer comes long before the end of CopyWindow
		return Verdict{ConfirmBy: response.SentAt.Add(min(max(e.Latest(), 2*e.mean), CopyWindow))}
	}
	return Verdict{}
}

// implausible reports whether a delivery is too early for an answer of the endpoint.
func (e *Estimate) implausible(elapsed time.Duration) bool {
	return elapsed < e.quickest-schedulingDelay &&
		float64(elapsed) < max(farTooEarly*float64(e.quickest), tooEarly*float64(e.quickestReused))
}
