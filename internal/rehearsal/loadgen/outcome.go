package loadgen

import (
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/scenario"
)

// Outcome is the final state of a message from the client's point of view, or Pending.
type Outcome uint8

// The outcomes of a message.
const (
	Pending    Outcome = iota
	Delivered          // an endpoint answered the relay with status 200
	Rejected           // the client gave up after a rejection
	Failed             // the relay reported that it gave the message up, or replied with an error
	Unanswered         // the client got no reply and gave up
)

// outcomeNames are the names that reports use. There a Rejected message is "refused", and an
// Unanswered one, whose client got no reply, is "unheard".
var outcomeNames = [...]string{"pending", "delivered", "refused", "failed", "unheard"}

// String returns the outcome's name in reports.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the outcome of one message, with the number of its submissions.
type Result struct {
	Outcome     Outcome
	Elapsed     event.Time // from the planned arrival to the final outcome
	Submissions int
	Rejections  int
}

// EarnedWeight returns the weight that a message's delivery earns. A delivery within the
// latency objective earns the class's full weight. After it the weight falls linearly, down to
// the class's late weight (a share of the full weight) at the deadline. A message that is not
// delivered by the deadline earns 0.
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
