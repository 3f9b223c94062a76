package checker

import "fmt"

// Rule names a rule in reports.
type Rule string

// The six rules, followed by two more that they depend on.
const (
	// RuleNoLoss: every accepted message is delivered or ended by a notice in time, and a relay closes
	// no client's connection without a reply.
	RuleNoLoss Rule = "nothing goes missing"
	// RuleAtMostOnce: a message is not attempted again if that could make it take effect twice.
	RuleAtMostOnce Rule = "every effect at most once"
	// RuleDrain: no call to an endpoint begins after the drain grace.
	RuleDrain Rule = "drains are honoured"
	// RuleRecovery: relays that have seen an endpoint fail do not overload it while it warms up.
	RuleRecovery Rule = "a returning destination is not overwhelmed"
	// RuleOrdering: messages with one ordering key are attempted one at a time, in order.
	RuleOrdering Rule = "order holds"
	// RuleRetryAfter: a relay sends nothing to a route before the end of a Retry-After it has received.
	RuleRetryAfter Rule = "waits are respected"
	// RuleRouting: a call is made only for a message that was submitted, and only to its destination.
	RuleRouting Rule = "calls go where their message says"
	// RuleRestart: of the messages that a restarted relay recovers unattempted with at least half of
	// their time left, most are attempted before they end.
	RuleRestart Rule = "what a restart finds untried is tried"
)

// Rules returns all rules in the order of a report.
func Rules() []Rule {
	return []Rule{
		RuleNoLoss,
		RuleAtMostOnce,
		RuleDrain,
		RuleRecovery,
		RuleOrdering,
		RuleRetryAfter,
		RuleRouting,
		RuleRestart,
	}
}

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule     Rule
	At       Time
	Message  int // number in the plan; -1 if the violation is not about a message
	ID       string
	Relay    int // -1 for none
	Endpoint int // -1 for none
	Evidence string
}

// String returns the violation as one line.
func (v *Violation) String() string {
	line := fmt.Sprintf("%.3f s: %s: ", seconds(v.At), v.Rule)
	if v.ID != "" {
		line += fmt.Sprintf("message %s (%d of the plan): ", v.ID, v.Message)
	}
	return line + v.Evidence
}

func seconds(t Time) float64 { return float64(t) / 1e6 }
