package policy

import "slices"

// The messages: those pending, those of one key, and what is known of their attempts.

// without removes the only occurrence of an item from a list.
func without[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}

// pendingMessages are the messages that are not yet ended, in no order that means anything.
type pendingMessages []*message

func (p *pendingMessages) add(added *message) {
	added.pendingIndex = len(*p)
	*p = append(*p, added)
}

func (p *pendingMessages) remove(removed *message) {
	list := *p
	last := list[len(list)-1]
	list[removed.pendingIndex], last.pendingIndex = last, removed.pendingIndex
	*p = list[:len(list)-1]
}

// orderedQueue holds the messages of one key, in classes that keep order, in the order of their arrival.
type orderedQueue struct {
	messages     []*message
	backoffUntil Time // the key rests after an attempt that may run still
}

func (q *orderedQueue) first() *message { return q.messages[0] }

// joinOrderedQueue puts a message behind the others of its key, where its class keeps order.
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

// leaveOrderedQueue lets the next message of the key go; a queue that is empty is kept until its backoff is
// over.
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
	e.timers.add(queue.backoffUntil, func() {
		if len(queue.messages) == 0 && queue.backoffUntil <= e.now {
			delete(e.orderedQueues, left.key)
		}
	})
}

// finishMessage drops a message that is owed nothing more; an attempt in flight still counts.
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
}

// forgetMessage drops the last trace of a finished message.
func (e *Engine) forgetMessage(message *message) {
	delete(e.messages, message.id)
	e.leaveOrderedQueue(message)
}

// currentAttempt is the message whose attempt in flight an event is about; nil where there is none.
func (e *Engine) currentAttempt(event *Event) *message {
	message := e.messages[event.Message]
	if message == nil || message.call == nil || event.Attempt != message.attempts-1 {
		return nil
	}
	return message
}

// restoreAttempts gives a message back its past under an earlier process. It may have nothing left but its
// end.
func (e *Engine) restoreAttempts(message *message, event *Event) {
	message.attempts = event.Attempts
	if message.attempts > 0 {
		e.timers.add(e.now, func() { e.reevaluate(message) })
	}
	if event.FirstUncertainAt > 0 {
		e.recordUncertainAttempt(message, event.FirstUncertainAt, event.FirstUncertainZone)
	}
}

// restoreAttempt notes that an attempt of a message, made by the engine from which this one took over, is
// still in flight: it holds its slot, and its outcome comes as if it had been sent here.
func (e *Engine) restoreAttempt(restored *message, endpoint *endpoint, sentAt Time) {
	restored.destination.queue = without(restored.destination.queue, restored)
	call := &call{endpoint: endpoint, sentAt: sentAt, openAttempts: 1, messages: []*message{restored}}
	restored.call = call
	e.messagesInFlight++
	e.countCall(restored.destination, endpoint)
	if e.settings.Cancellation {
		e.timers.add(e.now, func() { e.cancelOverdueCall(call) })
	}
}

// Weight is the weight that a pending message has in time; 0 for one that is not pending.
func (e *Engine) Weight(id uint32) float64 {
	if message := e.messages[id]; message != nil {
		return message.weight
	}
	return 0
}
