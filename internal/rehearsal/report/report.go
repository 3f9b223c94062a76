// Package report turns what a rehearsal saw into figures: service as worth
// delivered over worth asked for, the broken rules, the calls and the
// latencies; as text, as JSON and as one page that opens offline. It must
// never touch a relay or a stand-in.
package report

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
	"troutusher/internal/rehearsal/loadgen"
	"troutusher/internal/rehearsal/replay"
	"troutusher/internal/rehearsal/runner"
)

// Version is the version of the JSON form.
const Version = 1

// Report is what is told of a rehearsal. Times are in the units that the
// fields' names end in; shares and services are from 0 to 1.
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

// Service counts messages and their worth.
type Service struct {
	Ratio           float64 `json:"service"`
	WeightAsked     float64 `json:"worth_asked"`
	WeightDelivered float64 `json:"worth_delivered"`
	Messages        int     `json:"messages"`
	Delivered       int     `json:"delivered"`
	Rejected        int     `json:"refused"`
	Failed          int     `json:"failed"`
	Unanswered      int     `json:"unheard"`
	Pending         int     `json:"pending"`
	Rejections      int     `json:"refusals"` // all of them, also those of messages that came again
	Submissions     int     `json:"hand_ins"`
}

// Group is the service of a class or a portal.
type Group struct {
	Name string `json:"name"`
	Service
}

// Partner is the service of a partner, and the calls that came to it.
type Partner struct {
	Name      string `json:"name"`
	Dest      int    `json:"dest"`
	Endpoints int    `json:"endpoints"`
	Service
	Calls  runner.CallCounts `json:"calls"`
	Wasted int               `json:"wasted"` // calls that were not delivered
}

// RestartCounts says what became of the messages that restarts found taken on and
// untried, with half of their time left.
type RestartCounts struct {
	Unattempted int `json:"found"`
	Attempted   int `json:"tried"`
	Ended       int `json:"ended"` // with no call
}

// Window is a span of the rehearsal.
type Window struct {
	FromS int     `json:"from_s"`
	Ratio float64 `json:"service"`
}

// RuleResult is how a rule was kept.
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

// Second is one second of arrivals: worth by the messages' planned moments.
type Second struct {
	WeightAsked     float64   `json:"asked"`
	WeightDelivered float64   `json:"earned"`
	Partners        []float64 `json:"partners"` // service of each; -1 where nothing was asked
}

// Fault is a fault as it was played.
type Fault struct {
	Kind     string  `json:"kind"`
	FromS    float64 `json:"from_s"`
	UntilS   float64 `json:"until_s"`
	Partners []int   `json:"partners"` // indexes
	Relays   []int   `json:"relays"`   // from 1
}

const formatName = "troutusher-rehearsal-report"

// Verdicts.
const (
	VerdictPassed  = "passed"
	VerdictFailed  = "failed"
	VerdictInvalid = "void"
)

func (s *Service) add(r *loadgen.Result, asked, earned float64) {
	s.Messages++
	s.WeightAsked += asked
	s.WeightDelivered += earned
	s.Rejections += r.Rejections
	s.Submissions += r.Submissions
	switch r.Outcome {
	case loadgen.Delivered:
		s.Delivered++
	case loadgen.Rejected:
		s.Rejected++
	case loadgen.Failed:
		s.Failed++
	case loadgen.Unanswered:
		s.Unanswered++
	default:
		s.Pending++
	}
}

func (s *Service) setRatio() { s.Ratio = ratio(s.WeightDelivered, s.WeightAsked) }

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}

// New makes the report of a rehearsal.
func New(o *runner.Outcome, env replay.Environment) *Report {
	p, s := o.Plan, o.Plan.Scenario
	r := &Report{
		Format:           formatName,
		Version:          Version,
		Scenario:         s.Name,
		About:            s.About,
		Seed:             p.Seed,
		Environment:      env,
		MinService:       s.MinService,
		Reasons:          []string{},
		RelayFailures:    append([]string{}, o.RelayFailures...),
		ReplyLatency:     quantiles(o.ReplyLatency),
		DeliveryLatency:  quantiles(o.DeliveryLatency),
		Lateness:         Lateness{milliseconds(o.DriverLateness), milliseconds(o.EmulatorLateness), s.MaxLatenessMS},
		MemoryKB:         append([]int{}, o.MemoryKB...),
		UnservedRequests: o.UnservedRequests,
		Restarts:         RestartCounts{o.Restarts.Unattempted, o.Restarts.Attempted, o.Restarts.Ended},
	}
	r.addGroups(o)
	asked, earned := r.addResults(o)
	r.setRatios()
	r.addSeconds(asked, earned)
	r.WorstWindow = worstWindow(r.Seconds, 10)
	r.addFaults(o)
	r.addRules(o.Violations)
	r.setVerdict(o)
	r.Runs = []float64{r.Service.Ratio}
	return r
}

// addGroups names what results are added up by.
func (r *Report) addGroups(o *runner.Outcome) {
	p, s := o.Plan, o.Plan.Scenario
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, Group{Name: c.Name})
	}
	for _, x := range s.Portals {
		r.Portals = append(r.Portals, Group{Name: x.Name})
	}
	for i := range p.Specs {
		x := &p.Specs[i]
		r.Partners = append(r.Partners, Partner{
			Name: x.Name, Dest: x.Destination, Endpoints: x.Endpoints, Calls: o.Calls[i],
			Wasted: o.Calls[i].Started - o.Calls[i].Delivered,
		})
	}
}

// addResults adds up the results, and returns the worth asked for and earned, by second
// and partner.
func (r *Report) addResults(o *runner.Outcome) (asked, earned [][]float64) {
	p, s := o.Plan, o.Plan.Scenario
	seconds := int(math.Ceil(s.LengthS))
	asked = make([][]float64, seconds)
	earned = make([][]float64, seconds)
	for i := range asked {
		asked[i], earned[i] = make([]float64, len(p.Specs)), make([]float64, len(p.Specs))
	}
	for i := range o.Results {
		a, x := &p.Arrivals[i], &o.Results[i]
		class := &s.Classes[a.Class]
		got := loadgen.EarnedWeight(class, x)
		for _, to := range []*Service{
			&r.Service, &r.Classes[a.Class].Service, &r.Portals[a.Portal].Service, &r.Partners[a.Destination-1].Service,
		} {
			to.add(x, class.Weight, got)
		}
		sec := min(int(a.At/1e6), seconds-1)
		asked[sec][a.Destination-1] += class.Weight
		earned[sec][a.Destination-1] += got
	}
	return asked, earned
}

func (r *Report) setRatios() {
	r.Service.setRatio()
	for i := range r.Classes {
		r.Classes[i].setRatio()
	}
	for i := range r.Portals {
		r.Portals[i].setRatio()
	}
	for i := range r.Partners {
		r.Partners[i].setRatio()
	}
}

// addSeconds sets the service of each second; -1 where a partner was asked for nothing.
func (r *Report) addSeconds(asked, earned [][]float64) {
	for i := range asked {
		x := Second{Partners: make([]float64, len(asked[i]))}
		for j := range asked[i] {
			x.WeightAsked, x.WeightDelivered, x.Partners[j] = x.WeightAsked+asked[i][j], x.WeightDelivered+earned[i][j], -1
			if asked[i][j] > 0 {
				x.Partners[j] = earned[i][j] / asked[i][j]
			}
		}
		r.Seconds = append(r.Seconds, x)
	}
}

func milliseconds(t event.Time) float64 { return float64(t) / 1000 }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Quantiles{h.TotalCount(), at(50), at(90), at(99), at(99.9), milliseconds(h.Max())}
}

// worstWindow finds the span of so many seconds with the least service.
func worstWindow(all []Second, span int) Window {
	w := Window{Ratio: 1}
	for from := 0; from == 0 || from+span <= len(all); from++ {
		asked, earned := 0.0, 0.0
		for _, x := range all[from:min(from+span, len(all))] {
			asked, earned = asked+x.WeightAsked, earned+x.WeightDelivered
		}
		if s := ratio(earned, asked); s < w.Ratio {
			w = Window{from, s}
		}
	}
	return w
}

func (r *Report) addFaults(o *runner.Outcome) {
	r.Faults = []Fault{}
	for _, f := range o.Plan.Faults {
		x := Fault{
			Kind: f.Kind, FromS: float64(f.At) / 1e6, UntilS: float64(f.Until) / 1e6, Partners: []int{},
			Relays: []int{},
		}
		for _, e := range f.Endpoints {
			if i := o.Plan.Endpoints[e].Partner; !slices.Contains(x.Partners, i) {
				x.Partners = append(x.Partners, i)
			}
		}
		for _, i := range f.Relays {
			x.Relays = append(x.Relays, i+1)
		}
		r.Faults = append(r.Faults, x)
	}
}

func (r *Report) addRules(found []checker.Violation) {
	for _, rule := range checker.Rules() {
		x := RuleResult{Rule: string(rule), Violations: []Violation{}}
		for _, v := range found {
			if v.Rule == rule {
				x.Violations = append(
					x.Violations,
					Violation{float64(v.At) / 1e6, v.ID, v.Message, v.Relay + 1, v.Evidence},
				)
			}
		}
		r.Rules = append(r.Rules, x)
	}
}

// setVerdict says whether it passed. A kit that was late itself, or that could not
// do what the plan says, proves nothing of the relays.
func (r *Report) setVerdict(o *runner.Outcome) {
	r.Verdict = VerdictPassed
	if n := r.ViolationCount(); n > 0 {
		r.fail("%d broken rules", n)
	}
	for _, c := range o.RelayFailures {
		r.fail("%s", c)
	}
	if r.Service.Ratio < r.MinService {
		r.fail("service %.3f is under the floor of %.3f", r.Service.Ratio, r.MinService)
	}
	void := func(format string, a ...any) {
		r.Verdict = VerdictInvalid
		r.Reasons = append(r.Reasons, fmt.Sprintf(format, a...))
	}
	if r.Lateness.Driver > r.Lateness.Limit {
		void(
			"the load driver was %.1f ms late at the 99th percentile, %.0f ms at most",
			r.Lateness.Driver,
			r.Lateness.Limit,
		)
	}
	if r.Lateness.Emulators > r.Lateness.Limit {
		void(
			"the stand-ins were %.1f ms late at the 99th percentile, %.0f ms at most",
			r.Lateness.Emulators,
			r.Lateness.Limit,
		)
	}
	for _, t := range o.KitErrors {
		void("%s", t)
	}
}

func (r *Report) fail(format string, a ...any) {
	r.Verdict = VerdictFailed
	r.Reasons = append(r.Reasons, fmt.Sprintf(format, a...))
}

// ViolationCount counts broken rules.
func (r *Report) ViolationCount() (n int) {
	for _, x := range r.Rules {
		n += len(x.Violations)
	}
	return n
}

// Join makes one report of several runs of one plan: the figures of the run in
// the middle by service, the worst verdict, and the service of each.
func Join(all []*Report) *Report {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b *Report) int {
		switch {
		case a.Service.Ratio < b.Service.Ratio:
			return -1
		case a.Service.Ratio > b.Service.Ratio:
			return 1
		}
		return 0
	})
	r := *sorted[len(sorted)/2]
	r.Runs, r.Reasons = nil, []string{}
	r.Verdict = VerdictPassed
	rank := map[string]int{VerdictPassed: 0, VerdictFailed: 1, VerdictInvalid: 2}
	for i, x := range all {
		r.Runs = append(r.Runs, x.Service.Ratio)
		if rank[x.Verdict] > rank[r.Verdict] {
			r.Verdict = x.Verdict
		}
		for _, why := range x.Reasons {
			if len(all) > 1 {
				why = fmt.Sprintf("run %d: %s", i+1, why)
			}
			r.Reasons = append(r.Reasons, why)
		}
	}
	r.Rules = slices.Clone(r.Rules)
	for i := range r.Rules {
		r.Rules[i].Violations = []Violation{}
		for _, x := range all {
			r.Rules[i].Violations = append(r.Rules[i].Violations, x.Rules[i].Violations...)
		}
	}
	return &r
}

// Noise is the mean of the runs' service, its standard deviation (of a sample,
// n-1) and their number. One run tells nothing of the noise: it is 0 then.
func (r *Report) Noise() (mean, deviation float64, runs int) {
	if len(r.Runs) == 0 {
		return r.Service.Ratio, 0, 0
	}
	for _, x := range r.Runs {
		mean += x
	}
	mean /= float64(len(r.Runs))
	for _, x := range r.Runs {
		deviation += (x - mean) * (x - mean)
	}
	if len(r.Runs) > 1 {
		deviation = math.Sqrt(deviation / float64(len(r.Runs)-1))
	}
	return mean, deviation, len(r.Runs)
}
