package core

import (
	"slices"
	"strconv"

	"troutusher/policy"
)

// This file simulates the clients, the endpoints and the platform of a crash simulation.

// acknowledge replies OK to a client, which reads the reply at once or after a delay, or has already
// given up.
func (sim *crashSimulation) acknowledge(m *trackedMessage, request *Request) {
	delay := int64(0)
	if sim.rng.IntN(6) == 0 {
		delay = int64(sim.rng.IntN(500e3))
	}
	if at := sim.now + delay; at-m.sentAt >= clientTimeout {
		sim.scheduleInProcess(max(m.sentAt+clientTimeout-sim.now, 0), func() {
			m.clientLeft = true
			sim.enqueue(ReplyDelivered{Request: request, OK: false})
		})
		return
	}
	read := func() {
		m.acknowledged, m.acknowledgedAt = true, sim.now
		sim.enqueue(ReplyDelivered{Request: request, OK: true})
	}
	if delay == 0 {
		read()
	} else {
		sim.scheduleInProcess(delay, read)
	}
}

// send checks a call and makes it. Like the send gate, it stops a call that the core decided on
// before a Retry-After arrived.
func (sim *crashSimulation) send(call *Call) {
	m, id, dest := sim.messages[call.Record.ID], call.Record.ID, call.Record.Dest
	endpoint := sim.core.endpoints.byNumber[call.Endpoint]
	if !m.acknowledged && !m.recovered || sim.core.deferral.awaitingList {
		sim.failf("message %s was sent before its acknowledgement or before the endpoint list arrived", id)
	}
	if sim.closedEndpoints[call.Endpoint] || endpoint.dest != dest {
		sim.failf("message %s for destination %d was sent to endpoint %s of destination %d, "+
			"want an open endpoint of its own destination", id, dest, endpoint.id, endpoint.dest)
	}
	if retryAfter := sim.retryAfters[dest]; sim.now < retryAfter.until {
		if sim.now > retryAfter.receivedAt+200e3 && sim.now-m.acknowledgedAt >= 150e3 {
			sim.failf("message %s was sent to destination %d %d ms before the end of a Retry-After received %d ms ago",
				id, dest, (retryAfter.until-sim.now)/1000, (sim.now-retryAfter.receivedAt)/1000)
		}
		sim.scheduleInProcess(0, func() {
			result := &Result{Outcome: policy.NotSent, RetryAfter: retryAfter.until - sim.now}
			sim.enqueue(AttemptFinished{Call: call, Result: result})
		})
		return
	}
	sim.checkSend(m, id)
	sim.respond(call, m)
}

// checkSend checks that the attempt is logged, that the message has not ended, and that it may run
// again if it has run before.
func (sim *crashSimulation) checkSend(m *trackedMessage, id string) {
	if record := sim.log.pending[id]; record == nil || record.OpenAttemptAt == 0 {
		sim.failf("message %s was sent before its attempt was logged", id)
	}
	if len(m.noticeOutcomes) > 0 {
		sim.failf("message %s was sent after the platform received notices %v", id, m.noticeOutcomes)
	}
	if m.runCount > 0 && (m.class == "once" || m.class == "keyed" && sim.now-m.firstRunAt > dedupWindow) {
		sim.failf("message %s (class %s) was sent again after it ran", id, m.class)
	}
}

// respond simulates the endpoint that receives a call. The endpoint carries on if the relay is
// killed, but then nobody reads its response.
func (sim *crashSimulation) respond(call *Call, m *trackedMessage) {
	took := int64(20e3 + sim.rng.IntN(200e3))
	run := func() {
		m.runCount++
		if m.runCount == 1 {
			m.firstRunAt = sim.now
		}
	}
	end := func(result *Result) {
		result.Elapsed = took
		sim.scheduleInProcess(took, func() { sim.enqueue(AttemptFinished{Call: call, Result: result}) })
	}
	switch k := sim.rng.IntN(10); {
	case k < 5: // delivered; the 200 counts as the message's end only if the relay is still running
		sim.schedule(took/2, run)
		sim.scheduleInProcess(took, func() {
			m.endedAt = append(m.endedAt, sim.now)
			sim.enqueue(AttemptFinished{Call: call, Result: delivered(took)})
		})
	case k == 5:
		retryAfter := int64(sim.rng.IntN(500e3))
		if sim.rng.IntN(3) == 0 {
			retryAfter = int64(sim.rng.IntN(4e6))
		}
		sim.scheduleInProcess(took, func() {
			dest := call.Record.Dest
			if sim.now+retryAfter > sim.retryAfters[dest].until {
				sim.retryAfters[dest] = retryAfterPeriod{receivedAt: sim.now, until: sim.now + retryAfter}
			}
			result := rejected(retryAfter)
			result.Elapsed = took
			sim.enqueue(AttemptFinished{Call: call, Result: result})
		})
	case k == 6:
		end(&Result{Outcome: policy.ConnectFailed})
	case k == 7:
		end(&Result{Outcome: policy.Rejected, Status: 503})
	case k == 8: // the message ran, but the response is lost
		sim.schedule(took/2, run)
		end(&Result{Outcome: policy.ConnectionReset})
	default: // no response until the call times out
		if sim.rng.IntN(2) == 0 {
			sim.schedule(took/2, run)
		}
		took = int64(call.Timeout)
		end(&Result{Outcome: policy.TimedOut})
	}
}

// notify sends a notice, which the platform receives up to 80 ms later.
func (sim *crashSimulation) notify(notice Notice) {
	if record := sim.log.pending[notice.Message]; record == nil || record.Notice != notice.Outcome {
		sim.failf("the notice of message %s was sent before it was logged", notice.Message)
	}
	sim.scheduleInProcess(int64(sim.rng.IntN(80e3)), func() {
		m := sim.messages[notice.Message]
		m.endedAt = append(m.endedAt, sim.now)
		m.noticeOutcomes[notice.Outcome] = true
		if notice.Outcome == NoticeHandedBack && m.class == "once" && m.runCount > 0 {
			sim.failf("non-idempotent message %s was handed back although it ran", notice.Message)
		}
		if sim.survivesWrite() {
			sim.log.apply(&Record{Kind: RecordDone, ID: notice.Message})
		}
	})
}

// submit submits a message with a random class, destination and deadline, if a process serves
// clients.
func (sim *crashSimulation) submit(i int) {
	if !sim.isServing() {
		return
	}
	id := "m" + strconv.Itoa(i)
	class := []string{"plain", "plain", "keyed", "once"}[sim.rng.IntN(4)]
	deadline := sim.now + int64(200e3+sim.rng.IntN(9e6))
	sim.messages[id] = &trackedMessage{
		class: class, sentAt: sim.now, deadline: deadline, noticeOutcomes: map[string]bool{},
	}
	queued := int64(0)
	if sim.rng.IntN(4) == 0 { // the request waits in the queue of the event loop
		queued = int64(sim.rng.IntN(250e3))
	}
	sim.scheduleInProcess(queued, func() {
		record := &Record{Kind: RecordAccepted, ID: id, Class: class, Tenant: "acme", Deadline: deadline}
		record.Dest = 1 + sim.rng.IntN(4)
		if class == "keyed" {
			record.Key = "k" + id
		}
		sim.enqueue(Submitted{
			Request: &Request{Record: record, Queued: queued, Class: slices.Index(classNames, class)},
		})
	})
}
