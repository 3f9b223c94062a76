package loadgen

import (
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/scenario"
)

// Outcome is how a message ended for its client.
type Outcome uint8

// Outcomes of a message.
const (
	Pending    Outcome = iota
	Delivered          // an endpoint answered 200 to the relay
	Rejected           // the client does not come again after its last rejection
	Failed             // its relay gave it up
	Unanswered         // its client got no answer, and does not come again
)

var outcomeNames = [...]string{"pending", "delivered", "refused", "failed", "unheard"}

// String is the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is what became of a message.
type Result struct {
	Outcome     Outcome
	Elapsed     event.Time // from its planned arrival to its end
	Submissions int
	Rejections  int
}

// EarnedWeight is what a message earned: all of its class's weight within the latency
// objective, then less in a straight line, down to the late weight at the deadline.
func EarnedWeight(class *scenario.Class, result *Result) float64 {
	if result.Outcome != Delivered {
		return 0
	}
	objective := float64(scenario.Microseconds(class.LatencyObjectiveMS))
	deadline := float64(scenario.Microseconds(class.DeadlineMS))
	elapsed := float64(result.Elapsed)
	switch {
	case elapsed <= objective:
		return class.Weight
	case elapsed > deadline:
		return 0
	default:
		return class.Weight * (1 - (1-class.LateWeight)*(elapsed-objective)/max(deadline-objective, 1))
	}
}
