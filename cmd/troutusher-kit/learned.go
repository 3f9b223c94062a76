package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"troutusher/internal/policystate"
	"troutusher/internal/texttable"
	"troutusher/policy"
)

// learnedCommand is "troutusher learned": what a relay keeps of its destinations.
type learnedCommand struct {
	Inspect learnedInspect `cmd:"" help:"Print what a relay's file of learned state holds. The file is not changed."`
}

type learnedInspect struct {
	Path string `arg:"" help:"The file, or the state folder that it lies in."`
}

func (c *learnedInspect) Run(out io.Writer) error {
	path := c.Path
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		path = filepath.Join(path, policystate.FileName)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	f, err := policystate.Decode(b)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return writeLearned(out, f, len(b))
}

func writeLearned(out io.Writer, f *policystate.File, size int) error {
	s := f.State
	how := "while it ran"
	if f.CleanShutdown {
		how = "as it ended"
	}
	printf(out, "relay %s, written %s %s, %d bytes; list %d\n\n", f.Relay,
		time.UnixMicro(f.WrittenAt).UTC().Format(time.RFC3339), how, size, s.Revision)
	name := map[policy.EndpointID]string{}
	for i := range s.Members {
		m := &s.Members[i]
		name[m.Number] = m.ID
		if m.Phase != "up" {
			name[m.Number] += " (" + m.Phase + ")"
		}
	}
	left := func(t policy.Time) string {
		if t <= s.Now {
			return "-"
		}
		return fmt.Sprintf("%.1f s", float64(t-s.Now)/1e6)
	}
	waits := map[int]policy.Time{}
	for _, w := range s.RetryAfters {
		waits[w.Dest] = w.Until
	}
	table := texttable.New()
	table.Rowf("dest\twaits for\trequests\taccepts\twindow\tpace\t" +
		"cut to a second\trefused in a row\tout\tendpoints")
	for i := range s.Policy.Limiters {
		l := &s.Policy.Limiters[i]
		var n [2]float64
		for _, b := range l.Bins {
			n[0], n[1] = n[0]+b[0], n[1]+b[1]
		}
		var all []string
		out := 0
		for _, e := range l.Endpoints {
			text := name[e.ID]
			if e.Unhealthy {
				out++
				text += fmt.Sprintf(" out for %.1f s", float64(s.Now-e.FirstFailureAt)/1e6)
			} else if e.RecoveredAt > 0 {
				text += fmt.Sprintf(" back for %.1f s", float64(s.Now-e.RecoveredAt)/1e6)
			}
			all = append(all, text)
		}
		cut := "-"
		if l.ReducedRate > 0 {
			cut = fmt.Sprintf("%.2f", l.ReducedRate)
		}
		waitsFor := left(max(l.RetryAfterUntil, waits[l.Destination]))
		table.Rowf("%d\t%s\t%.0f\t%.0f\t%.1f\t%.2f\t%s\t%d\t%d of %d\t%s",
			l.Destination, waitsFor, n[0], n[1], l.Window, l.RateMultiplier, cut,
			l.RejectionRun, out, len(l.Endpoints), strings.Join(all, ", "))
	}
	_, err := io.WriteString(out, table.String())
	return err
}

func runLearned(args []string, out, errs io.Writer) int {
	return runKong(
		"learned", "What a relay keeps of its destinations across restarts.", &learnedCommand{}, args, out, errs,
	)
}
