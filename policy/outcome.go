package policy

// The effect of an attempt's outcome on its message, its call, its endpoint and its limiter.

const (
	multiplierDecrease = 0.75 // factor of the rate multiplier after a rejection
	multiplierIncrease = 1.08 // the same after a success, if the rate had held a call back
	minRateMultiplier  = 0.5

	// An endpoint is unhealthy after this many rejections in a row, if they span at least half an overload
	// duration, because it is then closed, not just busy.
	unhealthyRejectionRun = 2
)

// startReply ends a message whose reply has begun to arrive, since it needs no further attempt.
func (e *Engine) startReply(event *Event) {
	if message := e.currentAttempt(event); message != nil {
		e.finishMessage(message)
	}
}

// endAttempt handles the end of an attempt. It frees the slot with the last attempt of the call, learns
// from the outcome, and puts the message back into its queue if it needs another attempt.
func (e *Engine) endAttempt(event *Event) {
	message := e.currentAttempt(event)
	if message == nil || event.Outcome >= outcomeCount {
		return
	}
	call := message.call
	message.call = nil
	if !message.finished {
		e.messagesInFlight--
	}
	call.openAttempts--
	if call.openAttempts == 0 {
		e.uncountCall(call.endpoint)
		e.restartIdleTime(call.endpoint)
	}
	e.markDirty(call.endpoint.limiter.destination)
	if !call.observed { // the messages of a call share one outcome, which counts once
		call.observed = true
		e.observeCall(call, event)
	}
	// A rejection whose body could not be read is reported as Failed, with its Retry-After.
	answered := event.Outcome == Rejected || event.Outcome == Failed
	if event.RetryAfter > 0 && answered {
		e.applyRetryAfter(call.endpoint, event.RetryAfter)
	}
	e.recordAttempt(message, call, event)
	switch {
	case message.finished:
		e.forgetMessage(message)
	case event.Outcome == Delivered || event.MessageFinished:
		e.finishMessage(message)
	default:
		message.destination.queue = append(message.destination.queue, message)
		e.reevaluateAt(e.now, message)
	}
}

// applyRetryAfter stops all calls under the endpoint's limiter until the wait is over, also if the
// endpoint has left the list since the call was sent.
func (e *Engine) applyRetryAfter(answered *endpoint, wait Time) {
	limiter := answered.limiter
	known := e.endpoints[answered.id]
	if known != nil && known.limiter.destination == limiter.destination {
		limiter = known.limiter // a new one, if the endpoint has left the list and returned
	}
	limiter.retryAfterUntil = max(limiter.retryAfterUntil, e.now+wait)
	for _, endpoint := range limiter.endpoints { // tokens saved up during the wait would go in one burst
		endpoint.recoveryBudget.tokens = 0
		endpoint.recoveryBudget.at = limiter.retryAfterUntil
	}
	if known == nil { // it has left the list, and may return before the wait is over
		e.endpoints[answered.id] = answered
		e.removeEndpoint(answered)
	}
}

// recordAttempt records what the end of an attempt means for the message's next ones: whether the
// attempt may have run or may still run, whether it counts, and which endpoint to avoid.
func (e *Engine) recordAttempt(message *message, call *call, event *Event) {
	outcome := event.Outcome
	mayStillRun := outcome == TimedOut || outcome == ConnectionReset || outcome == Cancelled
	queue := e.orderedQueues[message.key]
	inOrder := queue != nil && message.class.Ordered
	if inOrder && mayStillRun {
		queue.backoffUntil = max(queue.backoffUntil, e.now+e.settings.OrderedKeyBackoff)
	}
	mayHaveRun := !outcome.NeverRan() && outcome != Delivered
	if mayHaveRun && message.firstUncertainAt == 0 {
		e.recordUncertainAttempt(message, call.sentAt, call.endpoint.zone)
	}
	// Uncounted attempts have a limit too, because what keeps them from being sent may persist.
	if event.NotCounted && message.uncountedAttempts < e.maxUncountedAttempts() {
		message.uncountedAttempts++
	} else {
		message.lastFailedEndpoint = call.endpoint
	}
	message.recoveredUntried = message.recoveredUntried && event.NotCounted
}

// observeCall learns from the outcome of a call: the health of its endpoint, the window and rate of its
// limiter, and whether connections are scarce.
func (e *Engine) observeCall(call *call, event *Event) {
	endpoint := call.endpoint
	limiter := endpoint.limiter
	if event.Load.Limit > 0 {
		limiter.reportedRate = event.Load.Limit
	}
	e.trackConnectFailures(call, event.Outcome)
	e.settleConnectCost(call, event)
	switch event.Outcome {
	case Delivered:
		e.observeSuccess(call, event)
	case Rejected:
		e.observeRejection(call, event)
	case Cancelled: // a failure only if no call to the endpoint succeeded after this one was sent
		if endpoint.lastSuccessAt <= call.sentAt && !e.endedEarly(call) {
			e.recordFailure(endpoint, call.sentAt, true)
		}
	case TimedOut:
		if !e.endedEarly(call) {
			limiter.window = max(limiter.window/2, 1)
			e.recordFailure(endpoint, call.sentAt, true)
		}
	case ConnectFailed:
		endpoint.connections = endpoint.callsInFlight
		e.recordFailure(endpoint, call.sentAt, true)
	case NotSent:
		if event.RetryAfter > 0 { // this relay itself can open no connection before then
			limiter.backoffUntil = max(limiter.backoffUntil, e.now+event.RetryAfter)
		}
	case Failed, ConnectionReset:
		e.recordFailure(endpoint, call.sentAt, false)
	}
}

// endedEarly reports whether an unanswered call ended before it was overdue, because its message had little
// time left. That says nothing about the health of the endpoint, except while it is ejected: a trial call
// without an answer is then no sign that the outage is over.
func (e *Engine) endedEarly(call *call) bool {
	return !call.endpoint.ejected() && e.now-call.sentAt < e.overdueAfter(call.endpoint)
}

// observeSuccess counts an accept, widens the window, and raises the rate multiplier if the rate
// had held a call back.
func (e *Engine) observeSuccess(call *call, event *Event) {
	endpoint := call.endpoint
	limiter := endpoint.limiter
	limiter.history.accept(e.now)
	limiter.window = min(limiter.window+1, float64(e.settings.MaxConcurrentCalls))
	limiter.rejectionRun = 0
	limiter.latency.add(float64(event.Latency))
	endpoint.latency.add(float64(event.Latency))
	e.latency.add(float64(event.Latency))
	// A call that waited for a connection to open proves nothing about the rate.
	if limiter.rateBound && event.ConnectionsOpened == 0 {
		limiter.rateMultiplier = min(limiter.rateMultiplier*multiplierIncrease, float64(e.settings.Relays))
	}
	e.recordSuccess(endpoint, call.sentAt)
}

// observeRejection halves the window, reduces the rate and starts a backoff. The backoff is about the
// interval between this relay's calls at an even share of the limit, or the latency objective if that is
// shorter, and it grows with the run of rejections. A long run of them, or a long Retry-After, makes the
// endpoint unhealthy.
func (e *Engine) observeRejection(call *call, event *Event) {
	endpoint := call.endpoint
	limiter := endpoint.limiter
	limiter.window = max(limiter.window/2, 1)
	e.reduceRate(limiter)
	limiter.rateMultiplier = max(limiter.rateMultiplier*multiplierDecrease, minRateMultiplier)
	limiter.rejectionRun++
	if limiter.rejectionRun == 1 {
		limiter.firstRejectionAt = e.now
	}
	if limiter.reportedRate == 0 && limiter.nominalRate == 0 { // no limit is known: use what was accepted
		limiter.nominalRate = max(limiter.history.acceptRate(e.now), 1) * float64(e.settings.Relays)
	}
	budgetRate, _, _ := e.recoveryBudgetRate(endpoint)
	runLength := e.now - limiter.firstRejectionAt
	objective := call.messages[0].class.LatencyObjective
	interval := min(float64(e.settings.Relays)/e.capacity(limiter), seconds(objective))
	runBackoff := min(1/budgetRate, e.backoffGrowth(limiter)*seconds(runLength))
	backoff := max(interval, 1/e.bucketDepth(limiter), runBackoff)
	limiter.backoffUntil = e.now + Time(float64(second)*backoff*(0.5+e.rng.Float64()))
	if event.RetryAfter > 0 { // with jitter: relays with the same Retry-After must not return together
		jitter := Time(interval * float64(second) * e.rng.Float64())
		limiter.backoffUntil = max(limiter.backoffUntil, e.now+event.RetryAfter+jitter)
	}
	overload := e.settings.OverloadDuration
	longRun := limiter.rejectionRun >= unhealthyRejectionRun && runLength >= overload/2
	if event.RetryAfter >= overload || longRun {
		endpoint.failureScore = 1 // unhealthy at once, however few calls it has had
		e.recordFailure(endpoint, call.sentAt, false)
	}
}
