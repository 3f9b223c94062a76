package policy_test

import (
	"fmt"

	"troutusher/policy"
)

// A relay submits a message to its engine, makes the call that the engine asks for, and reports the outcome.
func Example() {
	const second = policy.Time(1e6)
	engine, err := policy.New(policy.Settings{
		Relays: 2, MaxConcurrentCalls: 8, MaxAttempts: 6, TickInterval: 5000, ListHasRates: true,
		InitialCapacity: 0.2, RampDuration: 10 * second, OverloadFactor: 2, OverloadDuration: 3 * second,
		DestinationKinds: []policy.DestinationKind{{BatchSize: 1}},
		Classes: []policy.Class{{
			Name: "order", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, LateWeight: 0.3,
			Idempotency: policy.IdempotentByKey, DedupWindow: 15 * second,
		}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 100 * second // the host's clock: the engine has none of its own
	actions := engine.Step(now, []policy.Event{
		{
			Kind: policy.EvListUpdated, ListUpdate: policy.ListFull,
			Updates: []policy.EndpointUpdate{{Endpoint: 7, Destination: 1, State: policy.Ready, Rate: 20}},
		},
		{Kind: policy.EvMessageSubmitted, Message: 1, Class: 0, Destination: 1, TimeLeft: 20 * second},
	}, nil)
	for _, action := range actions {
		if action.Kind == policy.ActSend {
			fmt.Println("send message", action.Message, "to endpoint", action.Endpoint)
		}
	}
	now += second / 5
	actions = engine.Step(now, []policy.Event{{
		Kind: policy.EvAttemptEnded, Message: 1, Attempt: 0, Endpoint: 7,
		Outcome: policy.Delivered, MessageFinished: true, Latency: second / 5,
	}}, actions[:0])
	fmt.Println("still to do:", len(actions))
	// Output:
	// send message 1 to endpoint 7
	// still to do: 0
}
