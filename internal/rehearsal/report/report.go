// Package report turns the outcome of a rehearsal into a report and writes it as text, as JSON
// or as one HTML page that opens offline. A report has the service ratio (the weight delivered
// divided by the weight asked for), the rule violations, the calls and the latencies. The
// package works on recorded outcomes only and never accesses a relay or an emulator.
package report

import (
	"troutusher/internal/rehearsal/replay"
	"troutusher/internal/rehearsal/runner"
)

// Version is the version of the JSON format.
const Version = 1

// Report is the report of a rehearsal. The suffix of a JSON key states the unit of a time.
// Shares and service ratios are between 0 and 1.
type Report struct {
	Format           string             `json:"format"`
	Version          int                `json:"version"`
	Scenario         string             `json:"scenario"`
	About            string             `json:"about"`
	Seed             uint64             `json:"seed"`
	Environment      replay.Environment `json:"environment"`
	Verdict          string             `json:"verdict"` // passed, failed or void
	Reasons          []string           `json:"reasons"` // why the verdict is not passed
	MinService       float64            `json:"floor"`   // the rehearsal fails if the service ratio is lower
	Service          Service            `json:"service"`
	WorstWindow      Window             `json:"worst_10_s"`
	Classes          []Group            `json:"classes"`
	Portals          []Group            `json:"portals"`
	Partners         []Partner          `json:"partners"`
	Rules            []RuleResult       `json:"rules"`
	RelayFailures    []string           `json:"crashes"`     // crashes and other failures of relays
	ReplyLatency     Quantiles          `json:"answers_ms"`  // from the planned arrival to the first reply
	DeliveryLatency  Quantiles          `json:"delivery_ms"` // from the planned arrival to the delivery
	Lateness         Lateness           `json:"late_ms"`
	MemoryKB         []int              `json:"relay_memory_kb"` // peak resident memory, by relay
	Restarts         RestartCounts      `json:"untried_at_restart"`
	UnservedRequests int                `json:"door"` // requests of clients without a reply, see runner.Outcome
	Seconds          []Second           `json:"seconds"`
	Faults           []Fault            `json:"faults"`
	Runs             []float64          `json:"runs"` // service ratio of each run of the plan; one or more
}

// Service has the counts of a set of messages by outcome, and their weights. The service ratio is the
// weight delivered divided by the weight asked for.
type Service struct {
	ServiceRatio    float64 `json:"service"`
	WeightAsked     float64 `json:"worth_asked"`
	WeightDelivered float64 `json:"worth_delivered"`
	Messages        int     `json:"messages"`
	Delivered       int     `json:"delivered"`
	Rejected        int     `json:"refused"`
	Failed          int     `json:"failed"`
	Unanswered      int     `json:"unheard"`
	Pending         int     `json:"pending"`
	Rejections      int     `json:"refusals"` // of all submissions, so a message may count several times
	Submissions     int     `json:"hand_ins"`
}

// Group is the service of a class or a portal.
type Group struct {
	Name string `json:"name"`
	Service
}

// Partner is the service of a partner, the operator of a destination, and the calls that the partner's
// endpoints received.
type Partner struct {
	Name        string `json:"name"`
	Destination int    `json:"dest"`
	Endpoints   int    `json:"endpoints"`
	Service
	Calls  runner.CallCounts `json:"calls"`
	Wasted int               `json:"wasted"` // calls that delivered no message
}

// RestartCounts counts the messages that a relay had accepted and not attempted before it was
// restarted, and that then had at least half of the time to their deadline left.
type RestartCounts struct {
	Unattempted int `json:"found"`
	Attempted   int `json:"tried"` // afterwards
	Ended       int `json:"ended"` // without an attempt
}

// Window is the service ratio of the messages that arrived within worstWindowS seconds.
type Window struct {
	FromS        int     `json:"from_s"`
	ServiceRatio float64 `json:"service"`
}

// RuleResult is a rule with its violations.
type RuleResult struct {
	Rule       string      `json:"rule"`
	Violations []Violation `json:"broken"`
}

// Violation is one violation of a rule.
type Violation struct {
	AtS      float64 `json:"at_s"`
	Message  string  `json:"message,omitempty"`
	Planned  int     `json:"planned"` // index of the message in the plan; -1 for none
	Relay    int     `json:"relay"`   // from 1; 0 for none
	Evidence string  `json:"evidence"`
}

// Quantiles are the quantiles of a latency in ms.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Lateness is how late the load generator submitted messages and the emulators' timers ran, in ms at the
// 99th percentile. Above Limit the run is invalid.
type Lateness struct {
	Driver    float64 `json:"driver_p99"`
	Emulators float64 `json:"stand_ins_p99"`
	Limit     float64 `json:"most"`
}

// Second sums up the messages that were planned to arrive in one second.
type Second struct {
	WeightAsked     float64   `json:"asked"`
	WeightDelivered float64   `json:"earned"`
	Partners        []float64 `json:"partners"` // service ratio of each; -1 if nothing was asked for
}

// Fault is a fault of the plan, with the partners and relays that it affected.
type Fault struct {
	Kind     string  `json:"kind"`
	FromS    float64 `json:"from_s"`
	UntilS   float64 `json:"until_s"`
	Partners []int   `json:"partners"` // indexes in Report.Partners
	Relays   []int   `json:"relays"`   // from 1
}

// formatName identifies the format in a report's JSON.
const formatName = "troutusher-rehearsal-report"

// Verdicts. A rehearsal is invalid if the load generator or the emulators were too late or
// failed.
const (
	VerdictPassed  = "passed"
	VerdictFailed  = "failed"
	VerdictInvalid = "void"
)

// ViolationCount returns the number of violations of all rules.
func (r *Report) ViolationCount() (n int) {
	for _, rule := range r.Rules {
		n += len(rule.Violations)
	}
	return n
}

// latency is a latency with its name in tables.
type latency struct {
	name      string
	quantiles Quantiles
}

// latencies returns the latencies of the report in the order of its tables.
func (r *Report) latencies() []latency {
	return []latency{{"to the first answer", r.ReplyLatency}, {"to the delivery", r.DeliveryLatency}}
}
