package policy

// What connections cost, whether they run out, and how long an idle one is kept.

const (
	scarceConnectFailureRatio = 0.05 // of calls: above it connections are taken to run out
	connectFailureSpan        = 20   // calls over which that ratio is smoothed
	scarceIdleConnections     = 2    // that all relays together keep at an endpoint where they run out
)

// needsConnection: a connection must be opened for the next call.
func (e *Engine) needsConnection(endpoint *endpoint) bool {
	return endpoint.callsInFlight >= endpoint.connections*e.settings.StreamsPerConnection
}

// nextConnectCost is what the next call costs beside itself, in calls: a connection that must be opened first
// is work at the destination, and is paid for like work, out of the same budget and at the same rate.
func (e *Engine) nextConnectCost(endpoint *endpoint) float64 {
	if e.needsConnection(endpoint) {
		return endpoint.connectCost
	}
	return 0
}

// settleConnectCost pays for connections that were opened and not expected, and gives back what bought none.
func (e *Engine) settleConnectCost(call *call, event *Event) {
	endpoint := call.endpoint
	if endpoint.connectCost == 0 {
		return
	}
	cost := float64(event.ConnectionsOpened) * endpoint.connectCost
	answered := event.Outcome == Delivered || event.Outcome == Rejected
	if call.opensConnection && (event.ConnectionsOpened > 0 || answered) {
		cost -= endpoint.connectCost // else it may have been tried in vain, which is work too
	}
	endpoint.limiter.tokens.tokens -= cost
	if endpoint.unhealthy {
		endpoint.recoveryBudget.tokens -= cost
	}
	switch event.Outcome { // its connection went with it, idle ones may have, or there was none
	case TimedOut, ConnectionReset, Cancelled, NotSent:
		endpoint.connections = endpoint.callsInFlight
	}
}

// trackConnectFailures notes whether connections run out. A call that found none tells of it only where
// another one that was out in that moment was answered: what is down takes none either.
func (e *Engine) trackConnectFailures(call *call, outcome Outcome) {
	endpoint := call.endpoint
	ratio := &e.connectFailureRatios[endpoint.limiter.destination.kindIndex]
	answered := outcome == Delivered || outcome == Rejected || outcome == Failed
	switch {
	case outcome == ConnectFailed && endpoint.lastSuccessAt < call.sentAt:
		endpoint.connectFailedAt = e.now // an answer may show it yet
	case outcome == ConnectFailed || answered && endpoint.connectFailedAt > call.sentAt:
		*ratio += (1 - *ratio) / connectFailureSpan
		endpoint.connectFailedAt = 0
	case answered:
		*ratio -= *ratio / connectFailureSpan
	}
}

// callEnded starts the time for which idle connections are kept.
func (e *Engine) callEnded(endpoint *endpoint) {
	endpoint.idleSince = e.now
	if endpoint.callsInFlight == 0 && e.settings.IdleTimeout > 0 && !endpoint.idleCheckScheduled {
		e.closeIdleConnections(endpoint)
	}
}

// closeIdleConnections closes the idle connections of an endpoint that has not been used for long.
func (e *Engine) closeIdleConnections(endpoint *endpoint) {
	left := endpoint.idleSince + e.idleTimeout(endpoint) - e.now
	endpoint.idleCheckScheduled = endpoint.callsInFlight == 0 && left > 0
	if endpoint.idleCheckScheduled { // by then the timeout may be another
		e.timers.add(e.now+min(left, e.settings.IdleTimeout/8+1), func() { e.closeIdleConnections(endpoint) })
	} else if endpoint.callsInFlight == 0 {
		endpoint.connections = 0
		e.emit(Action{Kind: ActCloseIdle, Endpoint: endpoint.id})
	}
}

// idleTimeout is how long an idle connection is kept: less where connections run out. Harm: more are opened.
func (e *Engine) idleTimeout(endpoint *endpoint) Time {
	if e.connectFailureRatios[endpoint.limiter.destination.kindIndex] > scarceConnectFailureRatio {
		relays := Time(max(e.settings.Relays, scarceIdleConnections))
		return e.settings.IdleTimeout * scarceIdleConnections / relays
	}
	return e.settings.IdleTimeout
}
