package runner

import (
	"context"
	"maps"
	"slices"
	"time"
)

const progressInterval = 250 * time.Millisecond

// Progress is the state of a running rehearsal.
type Progress struct {
	Elapsed      time.Duration // since the plan's start
	Total        time.Duration // the period in which messages arrive
	Submitted    int           // number of messages submitted so far
	Pending      int           // number of those that have not ended
	Violations   int
	ActiveFaults []string // sorted by name
}

// reportProgress calls OnProgress at regular intervals.
func (r *Rehearsal) reportProgress(ctx context.Context) {
	if r.options.OnProgress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.options.OnProgress(r.currentProgress())
		}
	}
}

func (r *Rehearsal) currentProgress() Progress {
	p := Progress{
		Elapsed:    time.Duration(r.now()-r.planStart.Load()) * time.Microsecond,
		Total:      time.Duration(r.plan.Scenario.LengthS * float64(time.Second)),
		Violations: r.events.violations(),
	}
	p.Submitted, p.Pending = r.driver.Progress()
	r.mu.Lock()
	defer r.mu.Unlock()
	p.ActiveFaults = slices.Sorted(maps.Keys(r.activeFaults))
	return p
}

// addActiveFault adds n, which may be negative, to the number of active faults of a name.
func (r *Rehearsal) addActiveFault(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeFaults[name] += n; r.activeFaults[name] <= 0 {
		delete(r.activeFaults, name)
	}
}
