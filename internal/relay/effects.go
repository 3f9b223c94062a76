package relay

import (
	"errors"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/metrics"
	"troutusher/internal/upstream"
	"troutusher/policy"
)

// execute does what the core says, in its order.
func (r *Relay) execute(fx []core.Effect) {
	for _, e := range fx {
		r.executeEffect(e)
	}
	clear(fx)
	r.effects = fx[:0]
}

func (r *Relay) executeEffect(e core.Effect) {
	switch e := e.(type) {
	case core.SendReply:
		requestOf(e.Request).answer(replyText(e.Reply))
	case core.AppendRecord:
		r.wal.Submit(e.Record, nil)
	case core.AppendThenReply:
		q := e.Request
		r.wal.Submit(q.Record, func(err error) {
			if err != nil {
				r.post(core.LogWriteFailed{Request: q})
				return
			}
			requestOf(q).answer(replyOK)
		})
	case core.AppendThenSend:
		r.startCall(e.Record, e.Call)
	case core.AppendThenNotify:
		n := e.Notice
		// The notice goes out whether or not it could be logged.
		r.wal.Submit(e.Record, func(error) { r.notices.Send(n) })
	case core.SendNotice:
		r.notices.Send(e.Notice)
	case core.ResumeCall:
		r.resumeCall(e.Call)
	case core.CancelCall:
		if c, ok := e.Call.Handle.(*upstream.Call); ok {
			c.Cancel()
		}
	case core.ApplyRetryAfter:
		if h := r.endpoints[e.Endpoint]; h != nil {
			h.HoldUntil(e.Until)
		}
	case core.CheckHealth:
		h, ep := r.endpoints[e.Endpoint], e.Endpoint
		go func() {
			r.post(core.HealthChecked{Endpoint: ep, Result: coreResult(h.CheckHealth(r.ctx))})
		}()
	case core.OpenEndpoint:
		r.endpoints[e.Endpoint] = r.pool.OpenEndpoint(upstream.EndpointOptions{
			ID:               e.Endpoint,
			Address:          e.Address,
			Dest:             e.Dest,
			Flavor:           e.Flavor,
			IndependentRoute: e.IndependentRoute,
		})
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
		if e.Text == metrics.LogText {
			e.Args = append(e.Args, metrics.LongestStepKey, r.longestStep.Microseconds())
			r.longestStep = 0
		}
		r.log.Log(r.ctx, e.Level, e.Text, e.Args...)
	case core.StepAgain:
		r.inbox.Put(loopInput{})
	}
}

func requestOf(q *core.Request) *request { return q.Handle.(*request) }

// replyText is an answer in RESP2.
func replyText(a core.Reply) string {
	switch {
	case a.OK:
		return replyOK
	case a.Err != nil:
		return errorReply(a.Err)
	}
	return busyReply(a.RetryAfterMS)
}

// identityRejected is told by the handshakes that an endpoint gets nothing for a time.
func (r *Relay) identityRejected(endpoint uint64, wait time.Duration) {
	r.post(core.IdentityRejected{Endpoint: policy.EndpointID(endpoint), Duration: wait.Microseconds()})
}

// startCall logs an attempt and then makes it.
func (r *Relay) startCall(rec *record, out *core.Call) {
	c := upstream.NewCall(r.ctx, upstream.CallOptions{
		SendBy:     out.SendBy,
		WarmingUp:  out.WarmingUp,
		MayConnect: out.MayConnect,
		OnSent:     func() { r.board.Sends.Add(1) },
	})
	out.Handle = c
	endpoint := r.endpoints[out.Endpoint]
	r.wal.Submit(rec, func(err error) {
		if err != nil {
			c.Release()
			r.post(core.AttemptNotLogged{Call: out})
			return
		}
		r.inFlight.Add(c)
		go func() {
			defer c.Release()
			defer r.inFlight.Remove(c)
			c.Do(endpoint, callRequest(out, r.cfg.LoadReportFields), func(result upstream.Result) {
				r.post(core.AttemptFinished{Call: out, Result: coreResult(result)})
			})
		}()
	})
}

// resumeCall has a call that the process before had out go on here.
func (r *Relay) resumeCall(out *core.Call) {
	c := upstream.NewCall(r.ctx, upstream.CallOptions{ElapsedBefore: time.Duration(r.now()-out.SentAt()) * time.Microsecond})
	out.Handle = c
	report := func(result upstream.Result) {
		r.post(core.AttemptFinished{Call: out, Result: coreResult(result)})
	}
	fd, ok := r.inheritedCalls[out.Record.ID]
	if !ok {
		c.Release()
		report(upstream.Result{Outcome: policy.ConnectionReset, Err: errors.New("its connection was not handed over")})
		return
	}
	delete(r.inheritedCalls, out.Record.ID)
	endpoint := r.endpoints[out.Endpoint]
	if endpoint == nil { // it has left
		endpoint = r.pool.ClosedEndpoint()
	}
	r.inFlight.Add(c)
	go func() {
		defer c.Release()
		defer r.inFlight.Remove(c)
		if err := c.Adopt(endpoint, fd, callRequest(out, r.cfg.LoadReportFields), report); err != nil {
			report(upstream.Result{Outcome: policy.ConnectionReset, Err: err})
		}
	}()
}
