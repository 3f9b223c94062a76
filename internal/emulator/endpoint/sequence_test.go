package endpoint

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"troutusher/internal/seededrand"
)

// sequenceSpecs are three destinations that between them use every setting of a Spec.
func sequenceSpecs() []Spec {
	service := []Service{
		{Mean: 40 * ms, Dist: seededrand.LogNormal, CV: 0.8},
		{Mean: 90 * ms, Dist: seededrand.Exponential, CV: 1},
	}
	return []Spec{
		{
			Name: "shared", Dest: 1, Endpoints: 2, Capacity: 40, Queue: 3, Service: service, Mix: []float64{0.7, 0.3},
			Limit: Limit{Kind: RateLimit, PerSecond: 25, Depth: 4, Wait: 300 * ms, RefusedSpend: true},
			Conns: 6, Idle: sec, Handshake: 5 * ms, OneWay: 2 * ms, ColdShare: 0.3, ColdRamp: 3 * sec,
			FallMultiple: 0.8, FallTime: sec, KeyMemory: 2 * sec, Errors: 0.05, Cancel: CancelQueued,
			Full: 2, Resumed: 0.5,
		},
		{
			Name: "routes", Dest: 2, Endpoints: 2, Apart: true, Capacity: 15, Queue: 2, Service: service,
			Mix: []float64{1, 0}, Limit: Limit{Kind: WindowLimit, PerSecond: 12, Window: sec / 2},
			ColdShare: 0.5, ColdRamp: sec, Cancel: CancelAll,
		},
		{
			Name: "plain", Dest: 3, Endpoints: 1, Capacity: 30, Queue: 10, Service: service, Mix: []float64{0.5, 0.5},
			Limit: Limit{Kind: NoLimit}, ColdShare: 1, Cancel: CancelNone,
		},
	}
}

type sequenceFault struct {
	begin, end Time
	endpoint   int
	fault      *Fault
}

// sequenceFaults begin and end at fixed times; each kind occurs at least once.
func sequenceFaults() []sequenceFault {
	return []sequenceFault{
		{500 * ms, 1500 * ms, 0, &Fault{Kind: Crash}},
		{700 * ms, 1700 * ms, 1, &Fault{Kind: Full}},
		{600 * ms, 1200 * ms, 2, &Fault{Kind: Vanish}},
		{800 * ms, 1600 * ms, 3, &Fault{Kind: Hang}},
		{500 * ms, 1000 * ms, 4, &Fault{Kind: Spoilt, Share: 0.6, Form: Noise}},
		{1000 * ms, 1400 * ms, 4, &Fault{Kind: Spoilt, Share: 0.6, Form: Copy}},
		{1400 * ms, 1800 * ms, 4, &Fault{Kind: Late, Share: 0.5, Size: 0.2}},
		{1800 * ms, 2200 * ms, 4, &Fault{Kind: Reset, Share: 0.5}},
		{2200 * ms, 2600 * ms, 4, &Fault{Kind: Errors, Share: 0.7}},
		{2600 * ms, 3000 * ms, 4, &Fault{Kind: Slow, Size: 4}},
		{2700 * ms, 3200 * ms, 4, &Fault{Kind: Tail, Share: 0.5, Class: 1, Size: 3}},
		{2000 * ms, 2500 * ms, 2, &Fault{Kind: FullWait, Size: 0.25}},
		{2100 * ms, 2600 * ms, 3, &Fault{Kind: Gone}},
	}
}

// sequence plays a fixed script and writes down each event and each effect, in
// the order in which the model gave them.
type sequence struct {
	*rig
	text  bytes.Buffer
	conns []Conn
	ids   []string
}

func (s *sequence) draw(step int, of uint64) float64 { return seededrand.Float64(7, uint64(step), of) }

// record appends what came since the last call.
func (s *sequence) record() {
	for _, e := range s.events {
		fmt.Fprintf(&s.text, "%d %s: relay %d endpoint %d message %d call %d status %d wait %d left %d %s %q %v\n",
			e.At, e.Kind, e.Relay, e.Endpoint, e.Message, e.Call, e.Status, e.Wait, e.Left, e.ID, e.Text, e.Calls)
	}
	for _, e := range s.effects {
		fmt.Fprintf(&s.text, "%d effect %d: conn %d endpoint %d status %d wait %d slots %v %s close %v listen %d\n",
			s.now, e.Kind, e.Conn, e.Endpoint, e.Status, e.Wait, e.Slots, e.Form, e.Close, e.Listen)
	}
	s.events, s.effects = nil, nil
}

// submit has a call come on a new connection or on one that is there.
func (s *sequence) submit(step int) {
	endpoint, relay := int(s.draw(step, 1)*5), step%2
	id := fmt.Sprintf("m%d", step)
	switch choice := s.draw(step, 2); {
	case choice < 0.15 && len(s.ids) > 0: // another attempt for an earlier message
		id = s.ids[int(s.draw(step, 3)*float64(len(s.ids)))]
	case choice < 0.18:
		id = "unknown"
	default:
		s.known[id] = Message{Num: step, Class: step % 2, Dest: s.w.Dest(endpoint), Over: choice > 0.98}
		s.ids = append(s.ids, id)
	}
	key := ""
	if s.draw(step, 4) < 0.5 {
		key = "k-" + id
	}
	conn := Conn(0)
	if s.draw(step, 5) < 0.3 && len(s.conns) > 0 {
		conn = s.conns[int(s.draw(step, 6)*float64(len(s.conns)))]
	} else {
		conn = s.w.Open(s.now, endpoint, relay)
		s.conns = append(s.conns, conn)
		s.w.Handshake(s.now, conn, step%3 == 0)
	}
	s.w.First(s.now, conn)
	s.w.Call(s.now, conn, id, key, 500*ms)
}

// interfere has connections end, endpoints drain, and health checks and calls over
// unproved connections come.
func (s *sequence) interfere(step int) {
	if len(s.conns) == 0 {
		return
	}
	conn := s.conns[int(s.draw(step, 7)*float64(len(s.conns)))]
	switch choice := s.draw(step, 8); {
	case choice < 0.1:
		s.w.Gone(s.now, conn)
	case choice < 0.2:
		s.w.Probe(s.now, conn)
	case choice < 0.22:
		s.w.Untrusted(s.now, conn, "m1")
	case choice < 0.26:
		s.w.Drain(s.now, step%5, choice < 0.24)
	case choice < 0.28:
		s.w.Forget(fmt.Sprintf("m%d", step/2))
	}
}

func (s *sequence) faults(plan []sequenceFault) {
	for _, f := range plan {
		switch s.now {
		case f.begin:
			s.w.Begin(s.now, f.endpoint, f.fault)
		case f.end:
			s.w.End(s.now, f.endpoint, f.fault)
		}
	}
}

// TestSequenceOfEvents compares the events and effects of a fixed seed and script
// with those of an earlier release, byte for byte.
func TestSequenceOfEvents(t *testing.T) {
	s := &sequence{rig: newRig(t, Rules{Relays: 2, Slots: 12, MaxAttempts: 2}, sequenceSpecs()...)}
	plan := sequenceFaults()
	for step := 0; s.now < 5*sec; step++ {
		s.faults(plan)
		s.submit(step)
		s.interfere(step)
		s.record()
		s.to(s.now + 20*ms)
		s.record()
	}
	s.to(20 * sec)
	s.record()
	for endpoint := range s.w.Endpoints() {
		fmt.Fprintf(&s.text, "capacity of %d: %.9f\n", endpoint, s.w.Capacity(endpoint, s.now))
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
			t.Fatalf("line %d: %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%d lines, want %d", len(gotLines), len(wantLines))
}
