package policy

import "slices"

// The pending messages, the queues of ordered keys, and the attempts of each message.

// without removes an item from a list that contains it once, and returns the shortened list.
func without[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}

// pendingMessages are the messages that have not ended yet, in arbitrary order.
type pendingMessages []*message

// add adds a message that is not in the list.
func (p *pendingMessages) add(added *message) {
	added.pendingIndex = len(*p)
	*p = append(*p, added)
}

// remove removes a message that is in the list, and puts the last one in its place.
func (p *pendingMessages) remove(removed *message) {
	list := *p
	last := list[len(list)-1]
	list[removed.pendingIndex] = last
	last.pendingIndex = removed.pendingIndex
	*p = list[:len(list)-1]
}

// orderedQueue holds the messages of ordered classes that share one key, in order of arrival.
type orderedQueue struct {
	messages     []*message
	backoffUntil Time // no message is sent before: an earlier attempt may still be running
}

// first returns the message that is sent next; the queue must not be empty.
func (q *orderedQueue) first() *message { return q.messages[0] }

// joinOrderedQueue appends a message to the queue of its key, if its class is ordered.
func (e *Engine) joinOrderedQueue(joined *message) {
	if !joined.class.Ordered || joined.key == 0 {
		return
	}
	queue := e.orderedQueues[joined.key]
	if queue == nil {
		queue = &orderedQueue{}
		e.orderedQueues[joined.key] = queue
	}
	queue.messages = append(queue.messages, joined)
}

// leaveOrderedQueue removes a message from the queue of its key, so that the next one may be sent. An empty queue
// is kept until its backoff is over.
func (e *Engine) leaveOrderedQueue(left *message) {
	queue := e.orderedQueues[left.key]
	if queue == nil || !left.class.Ordered {
		return
	}
	queue.messages = without(queue.messages, left)
	if len(queue.messages) > 0 {
		e.markDirty(queue.first().destination)
		return
	}
	e.callAt(queue.backoffUntil, func() {
		if len(queue.messages) == 0 && queue.backoffUntil <= e.now {
			delete(e.orderedQueues, left.key)
		}
	})
}

// callAt calls a function at the given time.
func (e *Engine) callAt(at Time, run func()) { e.timers.add(at, timer{run: run}) }

// reevaluateAt reevaluates a message at the given time, unless it has finished by then.
func (e *Engine) reevaluateAt(at Time, message *message) {
	e.timers.add(at, timer{func() { e.reevaluate(message) }, message})
}

// minTimersToRemove is the number of finished messages below which their timers are left to expire.
const minTimersToRemove = 256

// removeFinishedTimers removes the timers of finished messages when they make up about half of all. A
// relay may reject many messages long before their deadlines, and each would stay in memory until then.
func (e *Engine) removeFinishedTimers() {
	e.finishedMessages++
	if e.finishedMessages < max(minTimersToRemove, len(e.timers.items)/2) {
		return
	}
	e.finishedMessages = 0
	e.timers.removeFunc(func(t timer) bool { return t.message != nil && t.message.finished })
}

// finishMessage ends a message that needs no further answer. It stays known while its attempt is in flight.
func (e *Engine) finishMessage(message *message) {
	if message.finished {
		return
	}
	message.finished = true
	if message.call != nil {
		e.messagesInFlight--
	}
	e.pending.remove(message)
	message.destination.queue = without(message.destination.queue, message)
	if message.call == nil {
		e.forgetMessage(message)
	}
	e.removeFinishedTimers()
}

// forgetMessage removes a finished message that has no attempt in flight.
func (e *Engine) forgetMessage(message *message) {
	delete(e.messages, message.id)
	e.leaveOrderedQueue(message)
}

// currentAttempt returns the message whose attempt in flight the event refers to; nil if there is none, because the
// event is a repeated one or refers to an earlier attempt.
func (e *Engine) currentAttempt(event *Event) *message {
	message := e.messages[event.Message]
	if message == nil || message.call == nil || event.Attempt != message.attempts-1 {
		return nil
	}
	return message
}

// restoreAttemptHistory restores what an earlier process recorded of a message's attempts. It schedules a check of
// the message, which may have no attempt left.
func (e *Engine) restoreAttemptHistory(message *message, event *Event) {
	message.attempts = event.Attempts
	if message.attempts > 0 {
		e.reevaluateAt(e.now, message)
	}
	if event.FirstUncertainAt > 0 {
		e.recordUncertainAttempt(message, event.FirstUncertainAt, event.FirstUncertainZone)
	}
}

// restoreAttemptInFlight records that an attempt sent by the engine's predecessor is still in flight. It occupies a
// slot, and its outcome is reported to this engine as if this engine had sent it.
func (e *Engine) restoreAttemptInFlight(restored *message, endpoint *endpoint, sentAt Time) {
	restored.destination.queue = without(restored.destination.queue, restored)
	call := &call{endpoint: endpoint, sentAt: sentAt, openAttempts: 1, messages: []*message{restored}}
	restored.call = call
	e.messagesInFlight++
	e.countCall(restored.destination, endpoint)
	if e.settings.Cancellation {
		e.callAt(e.now, func() { e.cancelOverdueCall(call) })
	}
}

// Weight returns the weight of a message delivered within its latency objective; 0 if the message is unknown.
func (e *Engine) Weight(id uint32) float64 {
	if message := e.messages[id]; message != nil {
		return message.weight
	}
	return 0
}
