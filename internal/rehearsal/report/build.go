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

// add counts the result of one message.
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

// setRatio sets the service ratio of the weights.
func (s *Service) setRatio() { s.ServiceRatio = ratio(s.WeightDelivered, s.WeightAsked) }

// ratio returns part over total, or 1 of nothing.
func ratio(part, total float64) float64 {
	if total <= 0 {
		return 1
	}
	return part / total
}

// worstWindowS is the length of the window whose service is reported as the worst.
const worstWindowS = 10

// nothingAsked is the service of a partner in a second in which it was asked for nothing.
const nothingAsked = -1

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
	asked, delivered := r.addResults(o)
	r.setRatios()
	r.addSeconds(asked, delivered)
	r.WorstWindow = worstWindow(r.Seconds, worstWindowS)
	r.addFaults(o)
	r.addRules(o.Violations)
	r.setVerdict(o)
	r.Runs = []float64{r.Service.ServiceRatio}
	return r
}

// addGroups adds the classes, portals and partners that results are added up by.
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

// addResults adds up the results, and returns the weights asked for and delivered, by
// second and partner.
func (r *Report) addResults(o *runner.Outcome) (asked, delivered [][]float64) {
	seconds := int(math.Ceil(o.Plan.Scenario.LengthS))
	asked, delivered = make([][]float64, seconds), make([][]float64, seconds)
	for i := range seconds {
		asked[i], delivered[i] = make([]float64, len(o.Plan.Specs)), make([]float64, len(o.Plan.Specs))
	}
	for i := range o.Results {
		arrival, result := &o.Plan.Arrivals[i], &o.Results[i]
		class := &o.Plan.Scenario.Classes[arrival.Class]
		partner := arrival.Destination - 1
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

// setRatios sets all service ratios.
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

// addSeconds adds the weights and the partners' service of each second.
func (r *Report) addSeconds(asked, delivered [][]float64) {
	for i := range asked {
		second := Second{Partners: make([]float64, len(asked[i]))}
		for partner := range asked[i] {
			second.WeightAsked += asked[i][partner]
			second.WeightDelivered += delivered[i][partner]
			second.Partners[partner] = nothingAsked
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

// quantiles returns the quantiles of a latency; nothing where none was measured.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Quantiles{h.TotalCount(), at(50), at(90), at(99), at(99.9), milliseconds(h.Max())}
}

// worstWindow finds the window of so many seconds with the least service.
func worstWindow(all []Second, length int) Window {
	worst := Window{ServiceRatio: 1}
	for from := 0; from == 0 || from+length <= len(all); from++ {
		asked, delivered := 0.0, 0.0
		for _, second := range all[from:min(from+length, len(all))] {
			asked += second.WeightAsked
			delivered += second.WeightDelivered
		}
		if service := ratio(delivered, asked); service < worst.ServiceRatio {
			worst = Window{FromS: from, ServiceRatio: service}
		}
	}
	return worst
}

// addFaults adds the faults as they were played.
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

// addRules adds all rules with their violations.
func (r *Report) addRules(found []checker.Violation) {
	for _, rule := range checker.Rules() {
		result := RuleResult{Rule: string(rule), Violations: []Violation{}}
		for _, v := range found {
			if v.Rule == rule {
				result.Violations = append(result.Violations, Violation{
					AtS: seconds(v.At), Message: v.ID, Planned: v.Message, Relay: v.Relay + 1, Evidence: v.Evidence,
				})
			}
		}
		r.Rules = append(r.Rules, result)
	}
}

// setVerdict sets the verdict and its reasons. A kit that was late itself, or that could
// not do what the plan says, proves nothing of the relays.
func (r *Report) setVerdict(o *runner.Outcome) {
	r.Verdict = VerdictPassed
	if n := r.ViolationCount(); n > 0 {
		r.addReason(VerdictFailed, "%d broken rules", n)
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
	for _, kitError := range o.KitErrors {
		r.addReason(VerdictInvalid, "%s", kitError)
	}
}

// addReason sets the verdict and adds why.
func (r *Report) addReason(verdict, reason string, args ...any) {
	r.Verdict = verdict
	r.Reasons = append(r.Reasons, fmt.Sprintf(reason, args...))
}
