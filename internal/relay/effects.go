package relay

import (
	"errors"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/metrics"
	"troutusher/internal/upstream"
	"troutusher/policy"
)

// errCallNotHandedOver means that the predecessor, the process that handed over to this
// one, had a call in flight and did not pass its connection on.
var errCallNotHandedOver = errors.New("resume call: predecessor did not hand over its connection")

// execute executes the core's effects in their order.
func (r *Relay) execute(effects []core.Effect) {
	for _, effect := range effects {
		r.executeEffect(effect)
	}
	clear(effects)
	r.effects = effects[:0]
}

func (r *Relay) executeEffect(effect core.Effect) {
	switch e := effect.(type) {
	case core.SendReply:
		requestOf(e.Request).answer(replyText(e.Reply))
	case core.AppendRecord:
		r.wal.Submit(e.Record, nil)
	case core.AppendThenReply:
		r.appendThenReply(e.Request)
	case core.AppendThenSend:
		r.startCall(e.Record, e.Call)
	case core.AppendThenNotify:
		// The notice is sent even if it could not be logged.
		r.wal.Submit(e.Record, func(error) { r.notices.Send(e.Notice) })
	case core.SendNotice:
		r.notices.Send(e.Notice)
	case core.ResumeCall:
		r.resumeCall(e.Call)
	case core.CancelCall:
		if call, ok := e.Call.Handle.(*upstream.Call); ok {
			call.Cancel()
		}
	case core.ApplyRetryAfter:
		if endpoint := r.endpoints[e.Endpoint]; endpoint != nil {
			endpoint.HoldUntil(e.Until)
		}
	case core.CheckHealth:
		r.checkHealth(e.Endpoint)
	case core.OpenEndpoint:
		r.openEndpoint(e)
	case core.CloseEndpoint:
		r.endpoints[e.Endpoint].Close()
	case core.CloseIdleConnections:
		r.endpoints[e.Endpoint].CloseIdle()
	case core.ForgetEndpoint:
		delete(r.endpoints, e.Endpoint)
		r.pool.ForgetRoute(e.Endpoint)
	case core.PassivateDestination:
		r.pool.ForgetDestination(e.Dest)
	case core.Log:
		r.writeLog(e)
	case core.StepAgain:
		r.inbox.Put(loopInput{})
	}
}

// appendThenReply writes an accepted message to the write-ahead log and then replies to
// its client.
func (r *Relay) appendThenReply(accepted *core.Request) {
	r.wal.Submit(accepted.Record, func(err error) {
		if err != nil {
			r.post(core.LogWriteFailed{Request: accepted})
			return
		}
		requestOf(accepted).answer(replyOK)
	})
}

// checkHealth starts a health check of an endpoint, whose result is posted to the event
// loop.
func (r *Relay) checkHealth(id policy.EndpointID) {
	endpoint := r.endpoints[id]
	go func() {
		r.post(core.HealthChecked{Endpoint: id, Result: coreResult(endpoint.CheckHealth(r.ctx))})
	}()
}

func (r *Relay) openEndpoint(e core.OpenEndpoint) {
	r.endpoints[e.Endpoint] = r.pool.OpenEndpoint(upstream.EndpointOptions{
		ID:               e.Endpoint,
		Address:          e.Address,
		Dest:             e.Dest,
		Flavor:           e.Flavor,
		IndependentRoute: e.IndependentRoute,
	})
}

// writeLog writes a log line of the core. It adds the duration of the longest step to
// the metrics line.
func (r *Relay) writeLog(e core.Log) {
	args := e.Args
	if e.Text == metrics.LogText {
		args = append(args, metrics.LongestStepKey, r.longestStep.Microseconds())
		r.longestStep = 0
	}
	r.log.Log(r.ctx, e.Level, e.Text, args...)
}

func requestOf(req *core.Request) *request { return req.Handle.(*request) }

// replyText encodes a reply in RESP2.
func replyText(reply core.Reply) string {
	switch {
	case reply.OK:
		return replyOK
	case reply.Err != nil:
		return errorReply(reply.Err)
	}
	return busyReply(reply.RetryAfterMS)
}

// identityRejected is called if this relay has rejected the TLS identity of an endpoint.
// Nothing is sent to the endpoint until wait is over. A wait of 0 means that the identity
// has been verified again.
func (r *Relay) identityRejected(endpoint uint64, wait time.Duration) {
	r.post(core.IdentityRejected{Endpoint: policy.EndpointID(endpoint), Duration: wait.Microseconds()})
}

// startCall writes an attempt to the write-ahead log and then makes the call.
func (r *Relay) startCall(record *core.Record, attempt *core.Call) {
	call := upstream.NewCall(r.ctx, upstream.CallOptions{
		SendBy:     attempt.SendBy,
		WarmingUp:  attempt.WarmingUp,
		MayConnect: attempt.MayConnect,
		OnSent:     func() { r.stats.Sends.Add(1) },
	})
	attempt.Handle = call
	endpoint := r.endpoints[attempt.Endpoint]
	r.wal.Submit(record, func(err error) {
		if err != nil {
			call.Release()
			r.post(core.AttemptNotLogged{Call: attempt})
			return
		}
		r.inFlight.Add(call)
		go func() {
			defer call.Release()
			defer r.inFlight.Remove(call)
			call.Do(endpoint, callRequest(attempt, r.cfg), func(result upstream.Result) {
				r.post(core.AttemptFinished{Call: attempt, Result: coreResult(result)})
			})
		}()
	})
}

// resumeCall waits for the response to a call that the predecessor sent. A call whose
// connection was not handed over, or cannot be used, ends as a connection reset.
func (r *Relay) resumeCall(attempt *core.Call) {
	elapsed := time.Duration(r.now()-attempt.SentAt()) * time.Microsecond
	call := upstream.NewCall(r.ctx, upstream.CallOptions{ElapsedBefore: elapsed})
	attempt.Handle = call
	report := func(result upstream.Result) {
		r.post(core.AttemptFinished{Call: attempt, Result: coreResult(result)})
	}
	fd, ok := r.inheritedCalls[attempt.Record.ID]
	if !ok {
		call.Release()
		report(upstream.Result{Outcome: policy.ConnectionReset, Err: errCallNotHandedOver})
		return
	}
	delete(r.inheritedCalls, attempt.Record.ID)
	endpoint := r.endpoints[attempt.Endpoint]
	if endpoint == nil { // no longer in the endpoint list
		endpoint = r.pool.ClosedEndpoint()
	}
	r.inFlight.Add(call)
	go func() {
		defer call.Release()
		defer r.inFlight.Remove(call)
		if err := call.Adopt(endpoint, fd, callRequest(attempt, r.cfg), report); err != nil {
			report(upstream.Result{Outcome: policy.ConnectionReset, Err: err})
		}
	}()
}
