package report

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Join combines the reports of several runs of one plan into one. It has the figures of the run
// with the median service ratio, the worst verdict, the violations and reasons of all runs, and
// the service ratio of each run.
func Join(runs []*Report) *Report {
	sorted := slices.Clone(runs)
	slices.SortStableFunc(sorted, func(a, b *Report) int {
		return cmp.Compare(a.Service.ServiceRatio, b.Service.ServiceRatio)
	})
	joined := *sorted[len(sorted)/2]
	joined.Runs, joined.Reasons = nil, []string{}
	joined.Verdict = VerdictPassed
	severity := map[string]int{VerdictPassed: 0, VerdictFailed: 1, VerdictInvalid: 2}
	for i, run := range runs {
		joined.Runs = append(joined.Runs, run.Service.ServiceRatio)
		if severity[run.Verdict] > severity[joined.Verdict] {
			joined.Verdict = run.Verdict
		}
		for _, reason := range run.Reasons {
			if len(runs) > 1 {
				reason = fmt.Sprintf("run %d: %s", i+1, reason)
			}
			joined.Reasons = append(joined.Reasons, reason)
		}
	}
	joined.Rules = slices.Clone(joined.Rules)
	for i := range joined.Rules {
		joined.Rules[i].Violations = []Violation{}
		for _, run := range runs {
			joined.Rules[i].Violations = append(joined.Rules[i].Violations, run.Rules[i].Violations...)
		}
	}
	return &joined
}

// Noise returns the mean of the runs' service ratios, their sample standard deviation (divisor
// n-1) and the number of runs. The deviation of a single run is unknown and returned as 0.
func (r *Report) Noise() (mean, deviation float64, runs int) {
	if len(r.Runs) == 0 {
		return r.Service.ServiceRatio, 0, 0
	}
	for _, service := range r.Runs {
		mean += service
	}
	mean /= float64(len(r.Runs))
	for _, service := range r.Runs {
		deviation += (service - mean) * (service - mean)
	}
	if len(r.Runs) > 1 {
		deviation = math.Sqrt(deviation / float64(len(r.Runs)-1))
	}
	return mean, deviation, len(r.Runs)
}
