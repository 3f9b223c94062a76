package endpoint

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"troutusher/internal/seededrand"
)

// sequenceSpecs returns three destinations that together use every setting of a Spec.
func sequenceSpecs() []Spec {
	service := []ServiceTime{
		{Mean: 40 * ms, Distribution: seededrand.LogNormal, CV: 0.8},
		{Mean: 90 * ms, Distribution: seededrand.Exponential, CV: 1},
	}
	return []Spec{
		{
			Name:         "shared",
			Destination:  1,
			Endpoints:    2,
			Capacity:     40,
			QueueLimit:   3,
			ServiceTimes: service,
			ClassMix:     []float64{0.7, 0.3},
			RateLimit: RateLimit{
				Kind:           TokenBucket,
				PerSecond:      25,
				Burst:          4,
				RetryAfter:     300 * ms,
				CountsRejected: true,
			},
			MaxConns:             6,
			IdleTimeout:          sec,
			HandshakeTime:        5 * ms,
			OneWayDelay:          2 * ms,
			WarmUpShare:          0.3,
			WarmUpTime:           3 * sec,
			OverloadFactor:       0.8,
			OverloadWindow:       sec,
			DedupWindow:          2 * sec,
			ErrorShare:           0.05,
			Cancel:               CancelQueued,
			FullHandshakeCost:    2,
			ResumedHandshakeCost: 0.5,
		},
		{
			Name:              "routes",
			Destination:       2,
			Endpoints:         2,
			IndependentRoutes: true,
			Capacity:          15,
			QueueLimit:        2,
			ServiceTimes:      service,
			ClassMix:          []float64{1, 0},
			RateLimit:         RateLimit{Kind: FixedWindow, PerSecond: 12, Window: sec / 2},
			WarmUpShare:       0.5,
			WarmUpTime:        sec,
			Cancel:            CancelAll,
		},
		{
			Name:         "plain",
			Destination:  3,
			Endpoints:    1,
			Capacity:     30,
			QueueLimit:   10,
			ServiceTimes: service,
			ClassMix:     []float64{0.5, 0.5},
			RateLimit:    RateLimit{Kind: NoLimit},
			WarmUpShare:  1,
			Cancel:       CancelNone,
		},
	}
}

type sequenceFault struct {
	begin, end Time
	endpoint   int
	fault      *Fault
}

// sequenceFaults returns faults that begin and end at fixed times. Each kind occurs at least once.
func sequenceFaults() []sequenceFault {
	return []sequenceFault{
		{500 * ms, 1500 * ms, 0, &Fault{Kind: Crash}},
		{700 * ms, 1700 * ms, 1, &Fault{Kind: RejectAll}},
		{600 * ms, 1200 * ms, 2, &Fault{Kind: Blackhole}},
		{800 * ms, 1600 * ms, 3, &Fault{Kind: Hang}},
		{500 * ms, 1000 * ms, 4, &Fault{Kind: MalformedResponse, Share: 0.6, Defect: GarbageBytes}},
		{1000 * ms, 1400 * ms, 4, &Fault{Kind: MalformedResponse, Share: 0.6, Defect: DuplicateResponse}},
		{1400 * ms, 1800 * ms, 4, &Fault{Kind: LateResponse, Share: 0.5, Magnitude: 0.2}},
		{1800 * ms, 2200 * ms, 4, &Fault{Kind: ConnectionReset, Share: 0.5}},
		{2200 * ms, 2600 * ms, 4, &Fault{Kind: ErrorResponses, Share: 0.7}},
		{2600 * ms, 3000 * ms, 4, &Fault{Kind: SlowService, Magnitude: 4}},
		{2700 * ms, 3200 * ms, 4, &Fault{Kind: TailLatency, Share: 0.5, Class: 1, Magnitude: 3}},
		{2000 * ms, 2500 * ms, 2, &Fault{Kind: RejectWithRetryAfter, Magnitude: 0.25}},
		{2100 * ms, 2600 * ms, 3, &Fault{Kind: PlannedStop}},
	}
}

// sequence runs a fixed script against a model and writes each event and each effect to text, in the
// order in which the model emitted them.
type sequence struct {
	*harness
	text       bytes.Buffer
	conns      []ConnID
	messageIDs []string
}

// draw returns a random number for one choice in a step. It is the same in every run.
func (s *sequence) draw(step int, choice uint64) float64 {
	return seededrand.Float64(7, uint64(step), choice)
}

// record appends the events and effects since its last call to text.
func (s *sequence) record() {
	for _, e := range s.events {
		fmt.Fprintf(&s.text, "%d %s: relay %d endpoint %d message %d call %d status %d wait %d left %d %s %q %v\n",
			e.At, e.Kind, e.Relay, e.Endpoint, e.Message, e.Call, e.Status, e.Wait, e.Left, e.ID, e.Text, e.Calls)
	}
	for _, e := range s.effects {
		fmt.Fprintf(&s.text, "%d effect %d: conn %d endpoint %d status %d wait %d slots %v %s close %v listen %d\n",
			s.now, e.Kind, e.Conn, e.Endpoint, e.Status, e.RetryAfter, e.SlotsTaken, e.Defect, e.Close, e.Listener)
	}
	s.events, s.effects = nil, nil
}

// receiveCall sends a call for a new, an earlier or an unknown message, on a new or an existing
// connection.
func (s *sequence) receiveCall(step int) {
	endpoint, relay := int(s.draw(step, 1)*5), step%2
	id := fmt.Sprintf("m%d", step)
	switch choice := s.draw(step, 2); {
	case choice < 0.15 && len(s.messageIDs) > 0: // another attempt for an earlier message
		id = s.messageIDs[int(s.draw(step, 3)*float64(len(s.messageIDs)))]
	case choice < 0.18:
		id = "unknown"
	default:
		s.messages[id] = Message{
			Number:      step,
			Class:       step % 2,
			Destination: s.model.Destination(endpoint),
			Finished:    choice > 0.98,
		}
		s.messageIDs = append(s.messageIDs, id)
	}
	key := ""
	if s.draw(step, 4) < 0.5 {
		key = "k-" + id
	}
	conn := ConnID(0)
	if s.draw(step, 5) < 0.3 && len(s.conns) > 0 {
		conn = s.conns[int(s.draw(step, 6)*float64(len(s.conns)))]
	} else {
		conn = s.model.OpenConn(s.now, endpoint, relay)
		s.conns = append(s.conns, conn)
		s.model.CompleteHandshake(s.now, conn, step%3 == 0)
	}
	s.model.ReceiveFirstByte(s.now, conn)
	s.model.ReceiveCall(s.now, conn, id, key, 500*ms)
}

// performOtherAction performs at most one of these actions: closing a connection, a health check, a
// call over an untrusted connection, a change of an endpoint's draining, or forgetting a message.
func (s *sequence) performOtherAction(step int) {
	if len(s.conns) == 0 {
		return
	}
	conn := s.conns[int(s.draw(step, 7)*float64(len(s.conns)))]
	switch choice := s.draw(step, 8); {
	case choice < 0.1:
		s.model.CloseConn(s.now, conn)
	case choice < 0.2:
		s.model.ReceiveHealthCheck(s.now, conn)
	case choice < 0.22:
		s.model.ReceiveUntrustedCall(s.now, conn, "m1")
	case choice < 0.26:
		s.model.SetDraining(s.now, step%5, choice < 0.24)
	case choice < 0.28:
		s.model.ForgetMessage(fmt.Sprintf("m%d", step/2))
	}
}

func (s *sequence) injectFaults(plan []sequenceFault) {
	for _, f := range plan {
		switch s.now {
		case f.begin:
			s.model.InjectFault(s.now, f.endpoint, f.fault)
		case f.end:
			s.model.ClearFault(s.now, f.endpoint, f.fault)
		}
	}
}

// TestSequenceOfEvents compares the events and effects for a fixed seed and script with those of an
// earlier release, byte for byte. It fails if a change makes the model behave differently for the
// same inputs, so that recorded rehearsals would no longer replay as before.
func TestSequenceOfEvents(t *testing.T) {
	s := &sequence{harness: newHarness(t, Rules{Relays: 2, MaxInFlight: 12, MaxAttempts: 2}, sequenceSpecs()...)}
	plan := sequenceFaults()
	for step := 0; s.now < 5*sec; step++ {
		s.injectFaults(plan)
		s.receiveCall(step)
		s.performOtherAction(step)
		s.record()
		s.advanceTo(s.now + 20*ms)
		s.record()
	}
	s.advanceTo(20 * sec)
	s.record()
	for endpoint := range s.model.Endpoints() {
		fmt.Fprintf(&s.text, "capacity of %d: %.9f\n", endpoint, s.model.Capacity(endpoint, s.now))
	}
	want, err := os.ReadFile("testdata/sequence.txt")
	if err != nil {
		t.Fatal(err)
	}
	got := s.text.Bytes()
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("line %d = %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("sequence has %d lines, want %d", len(gotLines), len(wantLines))
}
