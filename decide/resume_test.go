package decide

import "testing"

// A message that an earlier process took on keeps its past: what may have run
// goes out again only as its class allows, and its attempts count on.
func TestResume(t *testing.T) {
	set := Settings{Relays: 1, Slots: 8, MaxAttempts: 3, Tick: 5000, RatesListed: true, RetryAfter: true,
		StartCapacity: 0.2, RampTime: 10 * second, OverloadFactor: 2, FallTime: 3 * second, Kinds: []Kind{{Batch: 1}},
		Classes: []Class{
			{Name: "safe", Aim: 2 * second, Deadline: 20 * second, Worth: 1, Repeat: Safe},
			{Name: "keyed", Aim: 2 * second, Deadline: 20 * second, Worth: 1, Repeat: Keyed, DedupWindow: 5 * second},
			{Name: "unsafe", Aim: 2 * second, Deadline: 20 * second, Worth: 1, Repeat: Unsafe}}}
	now := 100 * second
	for name, x := range map[string]struct {
		class, tries int
		doubt, left  Time
		want         ActionKind
	}{
		"new":                       {class: 2, left: 9 * second, want: ActSend},
		"unsafe, may have run":      {class: 2, tries: 1, doubt: now - second, left: 9 * second, want: ActFail},
		"unsafe, never ran":         {class: 2, tries: 2, left: 9 * second, want: ActSend},
		"unsafe, never ran, used":   {class: 2, tries: 3, left: 9 * second, want: ActRefuse},
		"keyed, in its window":      {class: 1, tries: 1, doubt: now - 2*second, left: 9 * second, want: ActSend},
		"keyed, window over":        {class: 1, tries: 1, doubt: now - 6*second, left: 9 * second, want: ActFail},
		"safe, may have run":        {class: 0, tries: 1, doubt: now - 6*second, left: 9 * second, want: ActSend},
		"overdue":                   {class: 0, tries: 1, left: -second, want: ActRefuse},
		"unsafe, overdue, in doubt": {class: 2, tries: 1, doubt: now - 6*second, left: -second, want: ActFail},
		"overdue, never tried":      {class: 2, left: 0, want: ActRefuse},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := New(set, 42)
			if err != nil {
				t.Fatal(err)
			}
			actions := p.Step(now, []Event{
				{Kind: EvList, List: ListFull, Entries: []Entry{{Endpoint: 7, Dest: 1, State: Ready, Rate: 20}}},
				{Kind: EvMessage, Message: 1, Class: x.class, Dest: 1, Left: x.left, Tries: x.tries, DoubtAt: x.doubt},
			}, nil)
			var got []ActionKind
			for _, a := range actions {
				if a.Kind != ActTimer && a.Kind != ActLog {
					got = append(got, a.Kind)
				}
			}
			if len(got) != 1 || got[0] != x.want {
				t.Fatalf("actions %v, want %v", got, x.want)
			}
			if x.want != ActSend {
				return
			}
			// The attempt counts on from those before: its outcome bears their number.
			after := p.Step(now+second/10, []Event{{Kind: EvOutcome, Message: 1, Attempt: x.tries, Endpoint: 7,
				Outcome: Delivered, Settled: true, Took: second / 10}}, nil)
			for _, a := range after {
				if a.Kind != ActTimer && a.Kind != ActLog {
					t.Errorf("still to do: %v", a.Kind)
				}
			}
		})
	}
}

// An attempt that never left the relay uses up none, as often as a message has
// attempts; where what keeps it from leaving lasts, it does.
func TestNeverLeft(t *testing.T) {
	for _, x := range []struct{ void, want int }{{0, 3}, {1, 4}, {3, 6}, {100, 6}} {
		s := one()
		s.MaxAttempts = 3
		p, err := New(s, 5)
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * second
		events := []Event{{Kind: EvList, List: ListFull, Entries: []Entry{{Endpoint: 7, Dest: 1, State: Ready, Rate: 1000}}},
			{Kind: EvMessage, Message: 1, Dest: 1, Left: 20 * second}}
		sends, why := 0, Reason(0)
		for ; why == 0 && now < 130*second; now += 5e3 {
			acts := p.Step(now, events, nil)
			events = nil
			for _, a := range acts {
				switch a.Kind {
				case ActSend:
					e := Event{Kind: EvOutcome, Message: 1, Attempt: sends, Endpoint: 7, Outcome: Full}
					if sends++; sends <= x.void {
						e.Outcome, e.Void = NotSent, true
					}
					events = append(events, e)
				case ActRefuse, ActFail:
					why = a.Why
				}
			}
		}
		if sends != x.want || why != NoAttempts {
			t.Errorf("%d never left: %d attempts, ended for %v", x.void, sends, why)
		}
	}
}

// What an earlier process took on and never tried goes before what is handed in
// now, whatever that is worth, the nearest end first, and makes no room for it; once
// tried it is like any other. Without that a relay under load gave more than half of
// it back with no call, since what is new always loses more by waiting.
func TestUntriedGoFirst(t *testing.T) {
	s := one()
	s.MaxHeld, s.Slots, s.MaxAttempts = 32, 2, 100
	s.Classes = append(s.Classes, Class{Name: "dear", Aim: 2 * second, Deadline: 20 * second, Worth: 50, LateWorth: 0.3})
	p, err := New(s, 5)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * second
	events := []Event{{Kind: EvList, List: ListFull, Entries: []Entry{{Endpoint: 7, Dest: 1, State: Ready, Rate: 20}}}}
	const owed, tried = 24, 4
	for i := range uint32(owed) { // the last ones end first
		events = append(events, Event{Kind: EvMessage, Message: 1 + i, Dest: 1, Left: 8*second - Time(i)*50e3, Resumed: true})
	}
	for i := range uint32(tried) {
		events = append(events, Event{Kind: EvMessage, Message: 50 + i, Dest: 1, Left: 9 * second, Resumed: true, Tries: 1})
	}
	first, again, order := map[uint32]bool{}, 0, []uint32{}
	attempts := map[uint32]int{50: 1, 51: 1, 52: 1, 53: 1}
	for next := uint32(100); now < 108*second; now += 5e3 {
		if now%100e3 == 0 { // more than goes out, and dearer
			events = append(events, Event{Kind: EvMessage, Message: next, Class: 1, Dest: 1, Left: 20 * second})
			next++
		}
		acts := p.Step(now, events, nil)
		events = nil
		for _, a := range acts {
			switch a.Kind {
			case ActSend:
				if a.Message <= owed && !first[a.Message] {
					order = append(order, a.Message)
				} else if len(first) < owed && a.Message <= owed {
					again++ // before others had their first
				}
				first[a.Message] = true
				events = append(events, Event{Kind: EvOutcome, Message: a.Message, Attempt: attempts[a.Message], Endpoint: 7, Outcome: Errored, Took: 50e3})
				if a.Message > owed {
					events[len(events)-1] = Event{Kind: EvOutcome, Message: a.Message, Attempt: attempts[a.Message], Endpoint: 7, Outcome: Delivered, Settled: true, Took: 50e3}
				}
				attempts[a.Message]++
			case ActRefuse, ActFail:
				if a.Message <= owed && !first[a.Message] {
					t.Errorf("%d is ended untried at %d ms, for %v", a.Message, (now-100*second)/1000, a.Why)
				}
			}
		}
	}
	if len(order) != owed || again > 2 {
		t.Errorf("%d of %d tried; %d second tries before others' first", len(order), owed, again)
	}
	for i := 1; i < len(order); i++ {
		if order[i] > order[i-1] {
			t.Errorf("%v: not the nearest end first", order)
			break
		}
	}
}
