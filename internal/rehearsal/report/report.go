// Package report turns the outcome of a rehearsal into a report: the service, which is the
// weight delivered over the weight asked for, violations of rules, calls and latencies;
// as text, as JSON and as one HTML page that opens offline. It must never touch a relay
// or an emulator.
package report

import (
	"troutusher/internal/rehearsal/replay"
	"troutusher/internal/rehearsal/runner"
)

// Version is the version of the JSON form.
const Version = 1

// Report is the report of a rehearsal. Times are in the units that their keys end in;
// shares and service ratios are from 0 to 1.
type Report struct {
	Format           string             `json:"format"`
	Version          int                `json:"version"`
	Scenario         string             `json:"scenario"`
	About            string             `json:"about"`
	Seed             uint64             `json:"seed"`
	Environment      replay.Environment `json:"environment"`
	Verdict          string             `json:"verdict"` // passed, failed or void
	Reasons          []string           `json:"reasons"` // why it is not passed
	MinService       float64            `json:"floor"`
	Service          Service            `json:"service"`
	WorstWindow      Window             `json:"worst_10_s"`
	Classes          []Group            `json:"classes"`
	Portals          []Group            `json:"portals"`
	Partners         []Partner          `json:"partners"`
	Rules            []RuleResult       `json:"rules"`
	RelayFailures    []string           `json:"crashes"`
	ReplyLatency     Quantiles          `json:"answers_ms"`  // from the planned moment to the first answer
	DeliveryLatency  Quantiles          `json:"delivery_ms"` // from the planned moment to the delivery
	Lateness         Lateness           `json:"late_ms"`
	MemoryKB         []int              `json:"relay_memory_kb"`
	Restarts         RestartCounts      `json:"untried_at_restart"`
	UnservedRequests int                `json:"door"` // requests that met a connection refused, reset, or closed unread
	Seconds          []Second           `json:"seconds"`
	Faults           []Fault            `json:"faults"`
	Runs             []float64          `json:"runs"` // service of each run, where it was played several times
}

// Service counts messages and their weight.
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
	Rejections      int     `json:"refusals"` // all of them, also those of messages that were submitted again
	Submissions     int     `json:"hand_ins"`
}

// Group is the service of a class or a portal.
type Group struct {
	Name string `json:"name"`
	Service
}

// Partner is the service of a partner, and the calls that came to it.
type Partner struct {
	Name        string `json:"name"`
	Destination int    `json:"dest"`
	Endpoints   int    `json:"endpoints"`
	Service
	Calls  runner.CallCounts `json:"calls"`
	Wasted int               `json:"wasted"` // calls that were not delivered
}

// RestartCounts says what became of the messages that restarts recovered with no attempt
// and with half of their time left.
type RestartCounts struct {
	Unattempted int `json:"found"`
	Attempted   int `json:"tried"`
	Ended       int `json:"ended"` // with no attempt
}

// Window is a span of the rehearsal.
type Window struct {
	FromS        int     `json:"from_s"`
	ServiceRatio float64 `json:"service"`
}

// RuleResult has the violations of a rule.
type RuleResult struct {
	Rule       string      `json:"rule"`
	Violations []Violation `json:"broken"`
}

// Violation is one time that a rule was broken.
type Violation struct {
	AtS      float64 `json:"at_s"`
	Message  string  `json:"message,omitempty"`
	Planned  int     `json:"planned"` // number in the plan; -1 for none
	Relay    int     `json:"relay"`   // from 1; 0 for none
	Evidence string  `json:"evidence"`
}

// Quantiles of a latency.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Lateness is how late the kit itself was, at the 99th percentile.
type Lateness struct {
	Driver    float64 `json:"driver_p99"`
	Emulators float64 `json:"stand_ins_p99"`
	Limit     float64 `json:"most"`
}

// Second is one second of planned arrivals.
type Second struct {
	WeightAsked     float64   `json:"asked"`
	WeightDelivered float64   `json:"earned"`
	Partners        []float64 `json:"partners"` // service ratio of each; -1 where nothing was asked for
}

// Fault is a fault as it was played.
type Fault struct {
	Kind     string  `json:"kind"`
	FromS    float64 `json:"from_s"`
	UntilS   float64 `json:"until_s"`
	Partners []int   `json:"partners"` // indexes
	Relays   []int   `json:"relays"`   // from 1
}

// formatName is the report's format.
const formatName = "troutusher-rehearsal-report"

// Verdicts. A rehearsal is invalid where the kit itself was too late or failed.
const (
	VerdictPassed  = "passed"
	VerdictFailed  = "failed"
	VerdictInvalid = "void"
)

// ViolationCount counts the violations of all rules.
func (r *Report) ViolationCount() (n int) {
	for _, rule := range r.Rules {
		n += len(rule.Violations)
	}
	return n
}

// latency is a latency with its name in texts.
type latency struct {
	name      string
	quantiles Quantiles
}

// latencies returns the latencies of the report in the order of its tables.
func (r *Report) latencies() []latency {
	return []latency{{"to the first answer", r.ReplyLatency}, {"to the delivery", r.DeliveryLatency}}
}
