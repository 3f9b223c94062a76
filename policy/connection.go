package policy

// The cost of connections, endpoints that run out of them, and how long idle ones are kept.

const (
	scarceConnectFailureRatio = 0.05 // share of calls without a connection above which connections are scarce
	connectFailureSpan        = 20   // calls over which that share is smoothed
	scarceIdleConnections     = 2    // idle connections that all relays together keep at such an endpoint
)

// needsConnection reports whether the next call to an endpoint must open a connection, because the
// calls in flight use all streams of the existing ones.
func (e *Engine) needsConnection(endpoint *endpoint) bool {
	return endpoint.callsInFlight >= endpoint.connections*e.settings.StreamsPerConnection
}

// nextConnectCost returns the cost, in calls, of the connection that the next call must open; 0 if it
// needs none. Opening a connection is work for the destination, so the cost is charged to the same
// budget and the same rate as calls.
func (e *Engine) nextConnectCost(endpoint *endpoint) float64 {
	if e.needsConnection(endpoint) {
		return endpoint.connectCost
	}
	return 0
}

// settleConnectCost charges the cost of connections that a call opened unexpectedly, and refunds the
// cost of an expected one that was not opened.
func (e *Engine) settleConnectCost(call *call, event *Event) {
	endpoint := call.endpoint
	if endpoint.connectCost == 0 {
		return
	}
	cost := float64(event.ConnectionsOpened) * endpoint.connectCost
	answered := event.Outcome == Delivered || event.Outcome == Rejected
	settled := event.ConnectionsOpened > 0 || answered
	if call.opensConnection && settled {
		cost -= endpoint.connectCost // no refund in other cases: a failed handshake is work too
	}
	endpoint.limiter.tokens.tokens -= cost
	if endpoint.unhealthy {
		endpoint.recoveryBudget.tokens -= cost
	}
	switch event.Outcome { // its connection is lost or was never opened, and idle ones may be lost too
	case TimedOut, ConnectionReset, Cancelled, NotSent:
		endpoint.connections = endpoint.callsInFlight
	}
}

// trackConnectFailures tracks, for each kind of destination, whether endpoints run out of connections. A
// call that gets no connection shows this only if another call in flight at that time was answered: an
// endpoint that is down accepts no connection either.
func (e *Engine) trackConnectFailures(call *call, outcome Outcome) {
	endpoint := call.endpoint
	ratio := &e.connectFailureRatios[endpoint.limiter.destination.kindIndex]
	answered := outcome == Delivered || outcome == Rejected || outcome == Failed
	connectionsRanOut := answered && endpoint.connectFailedAt > call.sentAt // another call got none meanwhile
	switch {
	case outcome == ConnectFailed && endpoint.lastSuccessAt < call.sentAt:
		endpoint.connectFailedAt = e.now // counts only if an answer to an earlier call follows
	case outcome == ConnectFailed || connectionsRanOut:
		*ratio += (1 - *ratio) / connectFailureSpan
		endpoint.connectFailedAt = 0
	case answered:
		*ratio -= *ratio / connectFailureSpan
	}
}

// restartIdleTime starts an endpoint's idle time again at the end of a call, and schedules the check
// that closes its idle connections, unless a call is in flight or a check is scheduled already.
func (e *Engine) restartIdleTime(endpoint *endpoint) {
	endpoint.idleSince = e.now
	if endpoint.callsInFlight > 0 || e.settings.IdleTimeout <= 0 {
		return
	}
	if !endpoint.idleCheckScheduled {
		e.closeIdleConnections(endpoint)
	}
}

// closeIdleConnections closes an endpoint's connections if they have been idle for the idle timeout;
// before that it schedules another check.
func (e *Engine) closeIdleConnections(endpoint *endpoint) {
	left := endpoint.idleSince + e.idleTimeout(endpoint) - e.now
	endpoint.idleCheckScheduled = endpoint.callsInFlight == 0 && left > 0
	if endpoint.idleCheckScheduled { // checked more often than that: the timeout may get shorter
		e.callAt(e.now+min(left, e.settings.IdleTimeout/8+1), func() { e.closeIdleConnections(endpoint) })
	} else if endpoint.callsInFlight == 0 {
		endpoint.connections = 0
		e.emit(Action{Kind: ActCloseIdle, Endpoint: endpoint.id})
	}
}

// idleTimeout returns how long an endpoint's idle connections are kept: less where connections are
// scarce, the more so the more relays there are. The drawback is that more connections are opened.
func (e *Engine) idleTimeout(endpoint *endpoint) Time {
	if e.connectFailureRatios[endpoint.limiter.destination.kindIndex] > scarceConnectFailureRatio {
		relays := Time(max(e.settings.Relays, scarceIdleConnections))
		return e.settings.IdleTimeout * scarceIdleConnections / relays
	}
	return e.settings.IdleTimeout
}
