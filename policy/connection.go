package policy

const (
	scarceConnectFailureRatio = 0.05 // share of calls without a connection above which connections are scarce
	connectFailureSpan        = 20   // calls over which that share is smoothed
	scarceIdleConnections     = 2    // idle connections that all relays together keep at an endpoint then
)

func (e *Engine) needsConnection(endpoint *endpoint) bool {
	return endpoint.callsInFlight >= endpoint.connections*e.settings.StreamsPerConnection
}

// nextConnectCost returns the cost of the connection that the next call must open, in calls; 0 if none. It is
// work for the destination, and is charged like calls, to the same budget and the same rate.
func (e *Engine) nextConnectCost(endpoint *endpoint) float64 {
	if e.needsConnection(endpoint) {
		return endpoint.connectCost
	}
	return 0
}

// settleConnectCost charges unexpected connections, and refunds expected ones that were not opened.
func (e *Engine) settleConnectCost(call *call, event *Event) {
	endpoint := call.endpoint
	if endpoint.connectCost == 0 {
		return
	}
	cost := float64(event.ConnectionsOpened) * endpoint.connectCost
	answered := event.Outcome == Delivered || event.Outcome == Rejected
	if call.opensConnection && (event.ConnectionsOpened > 0 || answered) {
		cost -= endpoint.connectCost // no refund in other cases: a failed handshake is work too
	}
	endpoint.limiter.tokens.tokens -= cost
	if endpoint.unhealthy {
		endpoint.recoveryBudget.tokens -= cost
	}
	switch event.Outcome { // its connection is lost, and idle ones may be too
	case TimedOut, ConnectionReset, Cancelled, NotSent:
		endpoint.connections = endpoint.callsInFlight
	}
}

// trackConnectFailures tracks whether connections run out. A call without a connection is evidence only if
// another call in flight at that time was answered: an endpoint that is down accepts no connection either.
func (e *Engine) trackConnectFailures(call *call, outcome Outcome) {
	endpoint := call.endpoint
	ratio := &e.connectFailureRatios[endpoint.limiter.destination.kindIndex]
	answered := outcome == Delivered || outcome == Rejected || outcome == Failed
	switch {
	case outcome == ConnectFailed && endpoint.lastSuccessAt < call.sentAt:
		endpoint.connectFailedAt = e.now // evidence if an answer to an earlier call follows
	case outcome == ConnectFailed || answered && endpoint.connectFailedAt > call.sentAt:
		*ratio += (1 - *ratio) / connectFailureSpan
		endpoint.connectFailedAt = 0
	case answered:
		*ratio -= *ratio / connectFailureSpan
	}
}

func (e *Engine) restartIdleTime(endpoint *endpoint) {
	endpoint.idleSince = e.now
	if endpoint.callsInFlight == 0 && e.settings.IdleTimeout > 0 && !endpoint.idleCheckScheduled {
		e.closeIdleConnections(endpoint)
	}
}

// closeIdleConnections closes an endpoint's connections after its idle timeout, and checks again until then.
func (e *Engine) closeIdleConnections(endpoint *endpoint) {
	left := endpoint.idleSince + e.idleTimeout(endpoint) - e.now
	endpoint.idleCheckScheduled = endpoint.callsInFlight == 0 && left > 0
	if endpoint.idleCheckScheduled { // the timeout may change meanwhile
		e.timers.add(e.now+min(left, e.settings.IdleTimeout/8+1), func() { e.closeIdleConnections(endpoint) })
	} else if endpoint.callsInFlight == 0 {
		endpoint.connections = 0
		e.emit(Action{Kind: ActCloseIdle, Endpoint: endpoint.id})
	}
}

// idleTimeout is shorter where connections are scarce. The drawback: more connections are opened.
func (e *Engine) idleTimeout(endpoint *endpoint) Time {
	if e.connectFailureRatios[endpoint.limiter.destination.kindIndex] > scarceConnectFailureRatio {
		relays := Time(max(e.settings.Relays, scarceIdleConnections))
		return e.settings.IdleTimeout * scarceIdleConnections / relays
	}
	return e.settings.IdleTimeout
}
