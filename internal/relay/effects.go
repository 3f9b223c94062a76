package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/metrics"
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
		r.wal.Submit(e.Record, func(error) { r.notices.queue.Put(n) })
	case core.SendNotice:
		r.notices.queue.Put(e.Notice)
	case core.ResumeCall:
		r.resumeCall(e.Call)
	case core.CancelCall:
		if c, ok := e.Call.Handle.(*Call); ok {
			c.cancel(ErrCancelled)
		}
	case core.ApplyRetryAfter:
		if h := r.endpoints[e.Endpoint]; h != nil {
			h.gate.HoldUntil(r.now(), e.Until)
		}
	case core.CheckHealth:
		h, ep := r.endpoints[e.Endpoint], e.Endpoint
		go func() {
			o := checkHealth(r.ctx, h)
			r.post(core.HealthChecked{Endpoint: ep, Result: o.coreResult()})
		}()
	case core.OpenEndpoint:
		at := scopeKey{dest: e.Dest}
		if e.IndependentRoute {
			at = scopeKey{route: e.Endpoint}
		}
		h := r.pool.OpenEndpoint(e.Address, r.tlsPeers, uint64(e.Endpoint), e.Dest, e.Flavor)
		h.gate = r.pool.scope(at).Gate()
		r.endpoints[e.Endpoint] = h
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
	ctx, stop := context.WithCancelCause(r.ctx)
	c := &Call{ctx: ctx, cancel: stop, connRequest: connRequest{warmingUp: out.WarmingUp, mayConnect: out.MayConnect}, SendBy: out.SendBy, OnSent: func() { r.board.Sends.Add(1) }}
	out.Handle = c
	h, limit := r.endpoints[out.Endpoint], time.Duration(out.Timeout)*time.Microsecond
	r.wal.Submit(rec, func(err error) {
		if err != nil {
			stop(err)
			r.post(core.AttemptNotLogged{Call: out})
			return
		}
		r.inFlight.Add(out, c)
		go func() {
			defer stop(nil)
			defer r.inFlight.Remove(out)
			c.Do(h, out.Record, limit, r.cfg.LoadReportFields, func(o Result) {
				r.post(core.AttemptFinished{Call: out, Result: o.coreResult()})
			})
		}()
	})
}

// resumeCall has a call that the process before had out go on here.
func (r *Relay) resumeCall(out *core.Call) {
	ctx, stop := context.WithCancelCause(r.ctx)
	c := &Call{ctx: ctx, cancel: stop, elapsedBefore: time.Duration(r.now()-out.SentAt()) * time.Microsecond}
	out.Handle = c
	tell := func(o Result) { r.post(core.AttemptFinished{Call: out, Result: o.coreResult()}) }
	fd, ok := r.inheritedCalls[out.Record.ID]
	if !ok {
		stop(nil)
		tell(Result{Outcome: policy.ConnectionReset, Err: errors.New("its connection was not handed over")})
		return
	}
	delete(r.inheritedCalls, out.Record.ID)
	h := r.endpoints[out.Endpoint]
	if h == nil { // its endpoint has left
		h = r.pool.newEndpoint("")
		h.closed = true
	}
	limit := time.Duration(out.Timeout) * time.Microsecond
	r.inFlight.Add(out, c)
	go func() {
		defer stop(nil)
		defer r.inFlight.Remove(out)
		if err := c.Adopt(h, fd, out.Record, limit, r.cfg.LoadReportFields, tell); err != nil {
			tell(Result{Outcome: policy.ConnectionReset, Err: err})
		}
	}()
}

// descriptor is the connection's descriptor, which stays its own.
func (c *poolConn) descriptor() (fd int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.New("no socket")
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	return fd, raw.Control(func(n uintptr) { fd = int(n) })
}
