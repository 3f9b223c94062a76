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

// add adds the result of one message. asked is the message's weight, and delivered the weight
// that its delivery earned.
func (s *Service) add(result *loadgen.Result, asked, delivered float64) {
	s.Messages++
	s.WeightAsked += asked
	s.WeightDelivered += delivered
	s.Rejections += result.Rejections
	s.Submissions += result.Submissions
	switch result.Outcome {
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

// setRatio sets the service ratio from the weights.
func (s *Service) setRatio() { s.ServiceRatio = ratio(s.WeightDelivered, s.WeightAsked) }

// ratio returns part / total, or 1 if total is 0: nothing was asked for, so nothing is missing.
func ratio(part, total float64) float64 {
	if total <= 0 {
		return 1
	}
	return part / total
}

// worstWindowS is the length, in seconds, of the window that is searched for the lowest service
// ratio.
const worstWindowS = 10

// serviceUndefined stands for a partner's service ratio in a second in which no message for it
// arrived.
const serviceUndefined = -1

// New builds the report of a rehearsal from its outcome. The results of the messages come first,
// then the ratios and the seconds, which are computed from them, then faults and rules, and last
// the verdict.
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
		UnservedRequests: o.UnservedRequests, // requests of clients to which no relay replied
		// How many messages restarted relays recovered unattempted, and how many of these were
		// attempted afterwards or ended without an attempt.
		Restarts: RestartCounts{o.Restarts.Unattempted, o.Restarts.Attempted, o.Restarts.Ended},
	}
	r.addGroups(o)
	asked, delivered := r.addResults(o)
	r.setRatios()
	r.addSeconds(asked, delivered)
	r.WorstWindow = worstWindow(r.Seconds, worstWindowS)
	r.addFaults(o)
	r.addRules(o.Violations)
	r.setVerdict(o)
	r.Runs = []float64{r.Service.ServiceRatio} // of this one run; Join lists the ratios of several
	return r
}

// addGroups adds the groups by which results are summed up: the classes of messages, the portals
// (tenants of the relays) and the partners (each the operator of one destination).
func (r *Report) addGroups(o *runner.Outcome) {
	for _, class := range o.Plan.Scenario.Classes {
		r.Classes = append(r.Classes, Group{Name: class.Name})
	}
	for _, portal := range o.Plan.Scenario.Portals {
		r.Portals = append(r.Portals, Group{Name: portal.Name})
	}
	for i := range o.Plan.Specs {
		spec, calls := &o.Plan.Specs[i], o.Calls[i]
		r.Partners = append(r.Partners, Partner{
			Name: spec.Name, Destination: spec.Destination, Endpoints: spec.Endpoints,
			Calls: calls, Wasted: calls.Started - calls.Delivered,
		})
	}
}

// addResults adds each message's result to the totals and to its groups. It returns the weights
// asked for and delivered, indexed by second of arrival and partner.
func (r *Report) addResults(o *runner.Outcome) (asked, delivered [][]float64) {
	seconds := int(math.Ceil(o.Plan.Scenario.LengthS))
	asked, delivered = make([][]float64, seconds), make([][]float64, seconds)
	for i := range seconds {
		asked[i], delivered[i] = make([]float64, len(o.Plan.Specs)), make([]float64, len(o.Plan.Specs))
	}
	for i := range o.Results {
		arrival, result := &o.Plan.Arrivals[i], &o.Results[i]
		class := &o.Plan.Scenario.Classes[arrival.Class]
		partner := arrival.Destination - 1 // each partner has one destination, numbered from 1
		earned := loadgen.EarnedWeight(class, result)
		for _, service := range []*Service{
			&r.Service,
			&r.Classes[arrival.Class].Service,
			&r.Portals[arrival.Portal].Service,
			&r.Partners[partner].Service,
		} {
			service.add(result, class.Weight, earned)
		}
		second := min(int(arrival.At/microsecondsPerSecond), seconds-1)
		asked[second][partner] += class.Weight
		delivered[second][partner] += earned
	}
	return asked, delivered
}

// setRatios sets the service ratio of the totals and of all groups.
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

// addSeconds adds each second's weights and the partners' service ratios.
func (r *Report) addSeconds(asked, delivered [][]float64) {
	for i := range asked {
		second := Second{Partners: make([]float64, len(asked[i]))}
		for partner := range asked[i] {
			second.WeightAsked += asked[i][partner]
			second.WeightDelivered += delivered[i][partner]
			second.Partners[partner] = serviceUndefined
			if asked[i][partner] > 0 {
				second.Partners[partner] = delivered[i][partner] / asked[i][partner]
			}
		}
		r.Seconds = append(r.Seconds, second)
	}
}

const microsecondsPerSecond = 1_000_000

func seconds(t event.Time) float64 { return float64(t) / microsecondsPerSecond }

func milliseconds(t event.Time) float64 { return float64(t) / 1000 }

// quantiles returns the quantiles, in ms, of a latency histogram in µs. They are 0 without a
// histogram.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Quantiles{h.TotalCount(), at(50), at(90), at(99), at(99.9), milliseconds(h.Max())}
}

// worstWindow returns the window with the lowest service ratio, the first of them if there are
// several. A window is lengthS seconds long, or as long as the rehearsal if that is shorter.
func worstWindow(all []Second, lengthS int) Window {
	worst := Window{ServiceRatio: 1}
	for from := 0; from == 0 || from+lengthS <= len(all); from++ {
		asked, delivered := 0.0, 0.0
		for _, second := range all[from:min(from+lengthS, len(all))] {
			asked += second.WeightAsked
			delivered += second.WeightDelivered
		}
		if service := ratio(delivered, asked); service < worst.ServiceRatio {
			worst = Window{FromS: from, ServiceRatio: service}
		}
	}
	return worst
}

// addFaults adds the plan's faults, with the partners and relays that they affected. As everywhere in
// the report, partners are indexes from 0 and relays are numbered from 1.
func (r *Report) addFaults(o *runner.Outcome) {
	r.Faults = []Fault{}
	for _, planned := range o.Plan.Faults {
		fault := Fault{
			Kind: planned.Kind, FromS: seconds(planned.At), UntilS: seconds(planned.Until),
			Partners: []int{}, Relays: []int{},
		}
		for _, endpoint := range planned.Endpoints {
			partner := o.Plan.Endpoints[endpoint].Partner
			if !slices.Contains(fault.Partners, partner) {
				fault.Partners = append(fault.Partners, partner)
			}
		}
		for _, relay := range planned.Relays {
			fault.Relays = append(fault.Relays, relay+1)
		}
		r.Faults = append(r.Faults, fault)
	}
}

// addRules adds all rules, each with its violations.
func (r *Report) addRules(found []checker.Violation) {
	for _, rule := range checker.Rules() {
		result := RuleResult{Rule: string(rule), Violations: []Violation{}}
		for _, v := range found {
			if v.Rule == rule {
				// In the report, Message is the message's id. The checker's Message is its number in the plan.
				result.Violations = append(result.Violations, Violation{
					AtS: seconds(v.At), Message: v.ID, Planned: v.Message, Relay: v.Relay + 1, Evidence: v.Evidence,
				})
			}
		}
		r.Rules = append(r.Rules, result)
	}
}

// setVerdict sets the verdict and its reasons. If the load generator or the emulators were too
// late, or could not carry out the plan, the run is invalid, because its result says nothing
// about the relays. In the texts, the load driver is the load generator, the stand-ins are the
// emulators, and the figure before "at most" is the limit.
func (r *Report) setVerdict(o *runner.Outcome) {
	r.Verdict = VerdictPassed
	if n := r.ViolationCount(); n > 0 {
		r.addReason(VerdictFailed, "%d broken rules", n) // n counts violations: a rule may be broken several times
	}
	for _, failure := range o.RelayFailures {
		r.addReason(VerdictFailed, "%s", failure)
	}
	if r.Service.ServiceRatio < r.MinService {
		r.addReason(VerdictFailed, "service %.3f is under the floor of %.3f", r.Service.ServiceRatio, r.MinService)
	}
	late := &r.Lateness
	if late.Driver > late.Limit {
		r.addReason(VerdictInvalid,
			"the load driver was %.1f ms late at the 99th percentile, %.0f ms at most", late.Driver, late.Limit)
	}
	if late.Emulators > late.Limit {
		r.addReason(VerdictInvalid,
			"the stand-ins were %.1f ms late at the 99th percentile, %.0f ms at most", late.Emulators, late.Limit)
	}
	for _, rehearsalError := range o.RehearsalErrors { // of the emulators, the load generator or the runner
		r.addReason(VerdictInvalid, "%s", rehearsalError)
	}
}

// addReason sets the verdict and adds a reason for it.
func (r *Report) addReason(verdict, reason string, args ...any) {
	r.Verdict = verdict
	r.Reasons = append(r.Reasons, fmt.Sprintf(reason, args...))
}
