package core

import (
	"slices"
	"strconv"

	"troutusher/policy"
)

// The clients, endpoints and the platform of a crash simulation.

// acknowledge replies OK to a client that reads now, slowly, or has given up.
func (sim *crashSimulation) acknowledge(m *owedMessage, request *Request) {
	delay := int64(0)
	if sim.rng.IntN(6) == 0 {
		delay = int64(sim.rng.IntN(500e3))
	}
	if at := sim.now + delay; at-m.sent >= clientTimeout {
		sim.scheduleInProcess(max(m.sent+clientTimeout-sim.now, 0), func() {
			m.left = true
			sim.tell(ReplyDelivered{Request: request, OK: false})
		})
		return
	}
	read := func() {
		m.acknowledged, m.acknowledgedAt = true, sim.now
		sim.tell(ReplyDelivered{Request: request, OK: true})
	}
	if delay == 0 {
		read()
	} else {
		sim.scheduleInProcess(delay, read)
	}
}

// send makes a call, unless the gate stops one that was decided on before a Retry-After
// came.
func (sim *crashSimulation) send(call *Call) {
	m, id, dest := sim.messages[call.Record.ID], call.Record.ID, call.Record.Dest
	endpoint := sim.core.endpoints.byNumber[call.Endpoint]
	if !m.acknowledged && !m.recovered || sim.core.deferral.awaitingList {
		sim.failf("%s is sent before it is acknowledged, or before the list", id)
	}
	if sim.closedEndpoints[call.Endpoint] || endpoint.dest != dest {
		sim.failf("%s for %d is sent to %s of %d", id, dest, endpoint.id, endpoint.dest)
	}
	if told := sim.retryAfters[dest]; sim.now < told.until {
		if sim.now > told.at+200e3 && sim.now-m.acknowledgedAt >= 150e3 {
			sim.failf("%s goes to %d, %d ms before the end of a Retry-After that was told %d ms ago",
				id, dest, (told.until-sim.now)/1000, (sim.now-told.at)/1000)
		}
		sim.scheduleInProcess(0, func() {
			result := &Result{Outcome: policy.NotSent, RetryAfter: told.until - sim.now}
			sim.tell(AttemptFinished{Call: call, Result: result})
		})
		return
	}
	sim.checkSend(m, id)
	sim.respond(call, m)
}

// checkSend checks that an attempt may be made.
func (sim *crashSimulation) checkSend(m *owedMessage, id string) {
	if record := sim.log.pending[id]; record == nil || record.OpenAttemptAt == 0 {
		sim.failf("%s is sent before the log has the attempt", id)
	}
	if len(m.toldOutcomes) > 0 {
		sim.failf("%s is sent after the platform was told %v", id, m.toldOutcomes)
	}
	if m.ran > 0 && (m.class == "once" || m.class == "keyed" && sim.now-m.lastRan > dedupWindow) {
		sim.failf("%s (%s) is sent again after it ran", id, m.class)
	}
}

// respond is an endpoint that has a call; it goes on where the relay dies.
func (sim *crashSimulation) respond(call *Call, m *owedMessage) {
	took := int64(20e3 + sim.rng.IntN(200e3))
	run := func() {
		m.ran++
		if m.ran == 1 {
			m.lastRan = sim.now
		}
	}
	end := func(result *Result) {
		result.Elapsed = took
		sim.scheduleInProcess(took, func() { sim.tell(AttemptFinished{Call: call, Result: result}) })
	}
	switch k := sim.rng.IntN(10); {
	case k < 5: // the 200 is an end as it is written to a relay that lives
		sim.schedule(took/2, run)
		sim.scheduleInProcess(took, func() {
			m.ended = append(m.ended, sim.now)
			sim.tell(AttemptFinished{Call: call, Result: delivered(took)})
		})
	case k == 5:
		retryAfter := int64(sim.rng.IntN(500e3))
		if sim.rng.IntN(3) == 0 {
			retryAfter = int64(sim.rng.IntN(4e6))
		}
		sim.scheduleInProcess(took, func() {
			dest := call.Record.Dest
			if sim.now+retryAfter > sim.retryAfters[dest].until {
				sim.retryAfters[dest] = retryAfterPeriod{at: sim.now, until: sim.now + retryAfter}
			}
			result := rejected(retryAfter)
			result.Elapsed = took
			sim.tell(AttemptFinished{Call: call, Result: result})
		})
	case k == 6:
		end(&Result{Outcome: policy.ConnectFailed})
	case k == 7:
		end(&Result{Outcome: policy.Rejected, Status: 503})
	case k == 8: // it ran, and nobody heard
		sim.schedule(took/2, run)
		end(&Result{Outcome: policy.ConnectionReset})
	default: // silent until the relay stops waiting
		if sim.rng.IntN(2) == 0 {
			sim.schedule(took/2, run)
		}
		took = int64(call.Timeout)
		end(&Result{Outcome: policy.TimedOut})
	}
}

// notify sends a notice, which the platform takes a little later.
func (sim *crashSimulation) notify(notice Notice) {
	if record := sim.log.pending[notice.Message]; record == nil || record.Notice != notice.Outcome {
		sim.failf("the notice of %s goes out before the log has it", notice.Message)
	}
	sim.scheduleInProcess(int64(sim.rng.IntN(80e3)), func() {
		m := sim.messages[notice.Message]
		m.ended = append(m.ended, sim.now)
		m.toldOutcomes[notice.Outcome] = true
		if notice.Outcome == NoticeHandedBack && m.class == "once" && m.ran > 0 {
			sim.failf("%s is handed back, and ran", notice.Message)
		}
		if sim.write() {
			sim.log.apply(&Record{Kind: RecordDone, ID: notice.Message})
		}
	})
}

// submit submits a message, where a process serves.
func (sim *crashSimulation) submit(i int) {
	if !sim.serves() {
		return
	}
	id := "m" + strconv.Itoa(i)
	class := []string{"plain", "plain", "keyed", "once"}[sim.rng.IntN(4)]
	due := sim.now + int64(200e3+sim.rng.IntN(9e6))
	sim.messages[id] = &owedMessage{class: class, sent: sim.now, due: due, toldOutcomes: map[string]bool{}}
	queued := int64(0)
	if sim.rng.IntN(4) == 0 { // its turn comes late
		queued = int64(sim.rng.IntN(250e3))
	}
	sim.scheduleInProcess(queued, func() {
		record := &Record{Kind: RecordAccepted, ID: id, Class: class, Tenant: "acme", Deadline: due}
		record.Dest = 1 + sim.rng.IntN(4)
		if class == "keyed" {
			record.Key = "k" + id
		}
		sim.tell(Submitted{Request: &Request{Record: record, Queued: queued, Class: slices.Index(classNames, class)}})
	})
}
