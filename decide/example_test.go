package decide_test

import (
	"fmt"

	"troutusher/decide"
)

// A relay asks its policy what to do with a message, and tells it how the call went.
func Example() {
	const second = decide.Time(1e6)
	p, err := decide.New(decide.Settings{
		Relays: 2, Slots: 8, MaxAttempts: 6, Tick: 5000, RatesListed: true,
		StartCapacity: 0.2, RampTime: 10 * second, OverloadFactor: 2, FallTime: 3 * second,
		Kinds: []decide.Kind{{Batch: 1}},
		Classes: []decide.Class{{Name: "order", Aim: 2 * second, Deadline: 20 * second, Worth: 1, LateWorth: 0.3,
			Repeat: decide.Keyed, DedupWindow: 15 * second}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 100 * second // the host's own clock, never the module's
	actions := p.Step(now, []decide.Event{
		{Kind: decide.EvList, List: decide.ListFull,
			Entries: []decide.Entry{{Endpoint: 7, Dest: 1, State: decide.Ready, Rate: 20}}},
		{Kind: decide.EvMessage, Message: 1, Class: 0, Dest: 1, Left: 20 * second},
	}, nil)
	for _, a := range actions {
		if a.Kind == decide.ActSend {
			fmt.Println("send message", a.Message, "to endpoint", a.Endpoint)
		}
	}
	now += second / 5
	actions = p.Step(now, []decide.Event{{Kind: decide.EvOutcome, Message: 1, Attempt: 0, Endpoint: 7,
		Outcome: decide.Delivered, Settled: true, Took: second / 5}}, actions[:0])
	fmt.Println("still to do:", len(actions))
	// Output:
	// send message 1 to endpoint 7
	// still to do: 0
}
