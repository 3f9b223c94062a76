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
	Format      string             `json:"format"`
	Version     int                `json:"version"`
	Scenario    string             `json:"scenario"`
	About       string             `json:"about"`
	Seed        uint64             `json:"seed"`
	Environment replay.Environment `json:"environment"`
	Verdict     string             `json:"verdict"` // passed, failed or void
	Reasons     []string           `json:"reasons"` // why it is not passed
	Floor       float64            `json:"floor"`
	Service     Service            `json:"service"`
	Worst10S    Window             `json:"worst_10_s"`
	Classes     []Group            `json:"classes"`
	Portals     []Group            `json:"portals"`
	Partners    []Partner          `json:"partners"`
	Rules       []Rule             `json:"rules"`
	Crashes     []string           `json:"crashes"`
	Answers     Quantiles          `json:"answers_ms"`  // from the planned moment to the first answer
	Delivery    Quantiles          `json:"delivery_ms"` // from the planned moment to the delivery
	Late        Late               `json:"late_ms"`
	MemoryKB    []int              `json:"relay_memory_kb"`
	Untried     Untried            `json:"untried_at_restart"`
	Door        int                `json:"door"` // requests that met a connection refused, reset, or closed unread
	Seconds     []Second           `json:"seconds"`
	Faults      []Fault            `json:"faults"`
	Runs        []float64          `json:"runs"` // service of each run, where it was played several times
}

// Service counts messages and their worth.
type Service struct {
	Service   float64 `json:"service"`
	Asked     float64 `json:"worth_asked"`
	Earned    float64 `json:"worth_delivered"`
	Messages  int     `json:"messages"`
	Delivered int     `json:"delivered"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	Unheard   int     `json:"unheard"`
	Pending   int     `json:"pending"`
	Refusals  int     `json:"refusals"` // all of them, also those of messages that came again
	HandIns   int     `json:"hand_ins"`
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

// Untried says what became of the messages that restarts found taken on and
// untried, with half of their time left.
type Untried struct {
	Found int `json:"found"`
	Tried int `json:"tried"`
	Ended int `json:"ended"` // with no call
}

// Window is a span of the rehearsal.
type Window struct {
	FromS   int     `json:"from_s"`
	Service float64 `json:"service"`
}

// Rule is how a rule was kept.
type Rule struct {
	Rule   string   `json:"rule"`
	Broken []Broken `json:"broken"`
}

// Broken is one time that a rule was broken.
type Broken struct {
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

// Late is how late the kit itself was, at the 99th percentile.
type Late struct {
	Driver  float64 `json:"driver_p99"`
	StandIn float64 `json:"stand_ins_p99"`
	Most    float64 `json:"most"`
}

// Second is one second of arrivals: worth by the messages' planned moments.
type Second struct {
	Asked    float64   `json:"asked"`
	Earned   float64   `json:"earned"`
	Partners []float64 `json:"partners"` // service of each; -1 where nothing was asked
}

// Fault is a fault as it was played.
type Fault struct {
	Kind     string  `json:"kind"`
	FromS    float64 `json:"from_s"`
	UntilS   float64 `json:"until_s"`
	Partners []int   `json:"partners"` // indexes
	Relays   []int   `json:"relays"`   // from 1
}

const format = "troutusher-rehearsal-report"

// Verdicts.
const (
	Passed = "passed"
	Failed = "failed"
	Void   = "void"
)

func (s *Service) add(r *loadgen.Result, asked, earned float64) {
	s.Messages++
	s.Asked += asked
	s.Earned += earned
	s.Refusals += r.Rejections
	s.HandIns += r.Submissions
	switch r.Outcome {
	case loadgen.Delivered:
		s.Delivered++
	case loadgen.Rejected:
		s.Refused++
	case loadgen.Failed:
		s.Failed++
	case loadgen.Unanswered:
		s.Unheard++
	default:
		s.Pending++
	}
}

func (s *Service) finish() { s.Service = share(s.Earned, s.Asked) }

func share(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}

// New makes the report of a rehearsal.
func New(o *runner.Outcome, env replay.Environment) *Report {
	p, s := o.Plan, o.Plan.Scenario
	r := &Report{
		Format:      format,
		Version:     Version,
		Scenario:    s.Name,
		About:       s.About,
		Seed:        p.Seed,
		Environment: env,
		Floor:       s.MinService,
		Reasons:     []string{},
		Crashes:     append([]string{}, o.RelayFailures...),
		Answers:     quantiles(o.ReplyLatency),
		Delivery:    quantiles(o.DeliveryLatency),
		Late:        Late{ms(o.DriverLateness), ms(o.EmulatorLateness), s.MaxLatenessMS},
		MemoryKB:    append([]int{}, o.MemoryKB...),
		Door:        o.UnservedRequests,
		Untried:     Untried{o.Restarts.Unattempted, o.Restarts.Attempted, o.Restarts.Ended},
	}
	r.groups(o)
	asked, earned := r.addResults(o)
	r.finish()
	r.seconds(asked, earned)
	r.Worst10S = worst(r.Seconds, 10)
	r.faults(o)
	r.rules(o.Violations)
	r.judge(o)
	r.Runs = []float64{r.Service.Service}
	return r
}

// groups names what results are added up by.
func (r *Report) groups(o *runner.Outcome) {
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

func (r *Report) finish() {
	r.Service.finish()
	for i := range r.Classes {
		r.Classes[i].finish()
	}
	for i := range r.Portals {
		r.Portals[i].finish()
	}
	for i := range r.Partners {
		r.Partners[i].finish()
	}
}

// seconds sets the service of each second; -1 where a partner was asked for nothing.
func (r *Report) seconds(asked, earned [][]float64) {
	for i := range asked {
		x := Second{Partners: make([]float64, len(asked[i]))}
		for j := range asked[i] {
			x.Asked, x.Earned, x.Partners[j] = x.Asked+asked[i][j], x.Earned+earned[i][j], -1
			if asked[i][j] > 0 {
				x.Partners[j] = earned[i][j] / asked[i][j]
			}
		}
		r.Seconds = append(r.Seconds, x)
	}
}

func ms(t event.Time) float64 { return float64(t) / 1000 }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
	at := func(q float64) float64 { return ms(h.ValueAtQuantile(q)) }
	return Quantiles{h.TotalCount(), at(50), at(90), at(99), at(99.9), ms(h.Max())}
}

// worst finds the span of so many seconds with the least service.
func worst(all []Second, span int) Window {
	w := Window{Service: 1}
	for from := 0; from == 0 || from+span <= len(all); from++ {
		asked, earned := 0.0, 0.0
		for _, x := range all[from:min(from+span, len(all))] {
			asked, earned = asked+x.Asked, earned+x.Earned
		}
		if s := share(earned, asked); s < w.Service {
			w = Window{from, s}
		}
	}
	return w
}

func (r *Report) faults(o *runner.Outcome) {
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

func (r *Report) rules(found []checker.Violation) {
	for _, rule := range checker.Rules() {
		x := Rule{Rule: string(rule), Broken: []Broken{}}
		for _, v := range found {
			if v.Rule == rule {
				x.Broken = append(x.Broken, Broken{float64(v.At) / 1e6, v.ID, v.Message, v.Relay + 1, v.Evidence})
			}
		}
		r.Rules = append(r.Rules, x)
	}
}

// judge says whether it passed. A kit that was late itself, or that could not
// do what the plan says, proves nothing of the relays.
func (r *Report) judge(o *runner.Outcome) {
	r.Verdict = Passed
	if n := r.Broken(); n > 0 {
		r.fail("%d broken rules", n)
	}
	for _, c := range o.RelayFailures {
		r.fail("%s", c)
	}
	if r.Service.Service < r.Floor {
		r.fail("service %.3f is under the floor of %.3f", r.Service.Service, r.Floor)
	}
	void := func(format string, a ...any) {
		r.Verdict = Void
		r.Reasons = append(r.Reasons, fmt.Sprintf(format, a...))
	}
	if r.Late.Driver > r.Late.Most {
		void("the load driver was %.1f ms late at the 99th percentile, %.0f ms at most", r.Late.Driver, r.Late.Most)
	}
	if r.Late.StandIn > r.Late.Most {
		void("the stand-ins were %.1f ms late at the 99th percentile, %.0f ms at most", r.Late.StandIn, r.Late.Most)
	}
	for _, t := range o.KitErrors {
		void("%s", t)
	}
}

func (r *Report) fail(format string, a ...any) {
	r.Verdict = Failed
	r.Reasons = append(r.Reasons, fmt.Sprintf(format, a...))
}

// Broken counts broken rules.
func (r *Report) Broken() (n int) {
	for _, x := range r.Rules {
		n += len(x.Broken)
	}
	return n
}

// Join makes one report of several runs of one plan: the figures of the run in
// the middle by service, the worst verdict, and the service of each.
func Join(all []*Report) *Report {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b *Report) int {
		switch {
		case a.Service.Service < b.Service.Service:
			return -1
		case a.Service.Service > b.Service.Service:
			return 1
		}
		return 0
	})
	r := *sorted[len(sorted)/2]
	r.Runs, r.Reasons = nil, []string{}
	r.Verdict = Passed
	rank := map[string]int{Passed: 0, Failed: 1, Void: 2}
	for i, x := range all {
		r.Runs = append(r.Runs, x.Service.Service)
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
		r.Rules[i].Broken = []Broken{}
		for _, x := range all {
			r.Rules[i].Broken = append(r.Rules[i].Broken, x.Rules[i].Broken...)
		}
	}
	return &r
}

// Noise is the mean of the runs' service, its standard deviation (of a sample,
// n-1) and their number. One run tells nothing of the noise: it is 0 then.
func (r *Report) Noise() (mean, deviation float64, runs int) {
	if len(r.Runs) == 0 {
		return r.Service.Service, 0, 0
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
