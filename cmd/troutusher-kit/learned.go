package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/policystate"
	"troutusher/internal/texttable"
	"troutusher/policy"
)

// learnedCommand is "troutusher learned", which shows the policy state that a relay stores on
// disk.
type learnedCommand struct {
	Inspect learnedInspect `cmd:"" help:"Print what a relay's file of learned state holds. The file is not changed."`
}

// learnedInspect is "troutusher learned inspect".
type learnedInspect struct {
	Path string `arg:"" help:"The file, or the state folder that it lies in."`
}

// Run prints the content of the file.
func (c *learnedInspect) Run(stdout io.Writer) error {
	path := fileInFolder(c.Path, policystate.FileName)
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, err := policystate.Decode(content)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return writeLearned(stdout, file, len(content))
}

// fileInFolder returns the path of the file called name in path if path is a folder, and
// otherwise path itself.
func fileInFolder(path, name string) string {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return filepath.Join(path, name)
	}
	return path
}

// writeLearned writes the content of a file of size bytes: a line about the file, and a table with
// a row for each limiter. A limiter is the part of the policy that paces the calls to one
// destination, or to one endpoint of a destination whose endpoints have limits of their own.
func writeLearned(stdout io.Writer, file *policystate.File, size int) error {
	state := file.State
	when := "while it ran"
	if file.CleanShutdown {
		when = "as it ended"
	}
	printf(stdout, "relay %s, written %s %s, %d bytes; list %d\n\n", file.Relay,
		time.UnixMicro(file.WrittenAt).UTC().Format(time.RFC3339), when, size, state.Revision)
	names := endpointNames(state)
	retryAfters := map[int]policy.Time{} // by destination
	for _, retryAfter := range state.RetryAfters {
		retryAfters[retryAfter.Dest] = retryAfter.Until
	}
	table := texttable.New()
	table.Rowf("dest\twaits for\trequests\taccepts\twindow\tpace\t" +
		"cut to a second\trefused in a row\tout\tendpoints")
	for i := range state.Policy.Limiters {
		limiter := &state.Policy.Limiters[i]
		retryAfterUntil := max(limiter.RetryAfterUntil, retryAfters[limiter.Destination])
		table.Rowf("%s", limiterRow(limiter, state.Now, retryAfterUntil, names))
	}
	_, err := io.WriteString(stdout, table.String())
	return err
}

// endpointNames returns the ids of the endpoints by number, each with its phase in the endpoint
// list unless that phase is up.
func endpointNames(state *core.StateSnapshot) map[policy.EndpointID]string {
	names := map[policy.EndpointID]string{}
	for i := range state.Members {
		member := &state.Members[i]
		names[member.Number] = member.ID
		if member.Phase != core.Up {
			names[member.Number] += " (" + member.Phase + ")"
		}
	}
	return names
}

// limiterRow returns the cells of a limiter's row, separated by tabs.
func limiterRow(
	limiter *policy.LimiterSnapshot, now, retryAfterUntil policy.Time, names map[policy.EndpointID]string,
) string {
	var requests, accepts float64
	for _, bin := range limiter.Bins {
		requests, accepts = requests+bin[0], accepts+bin[1]
	}
	var endpoints []string
	unhealthy := 0
	for _, endpoint := range limiter.Endpoints {
		text := cmp.Or(names[endpoint.ID], "(not listed)")
		switch {
		case endpoint.Unhealthy:
			unhealthy++
			text += " out for " + secondsBetween(endpoint.FirstFailureAt, now)
		case endpoint.RecoveredAt > 0:
			text += " back for " + secondsBetween(endpoint.RecoveredAt, now)
		}
		endpoints = append(endpoints, text)
	}
	wait := "-"
	if retryAfterUntil > now {
		wait = secondsBetween(now, retryAfterUntil)
	}
	reducedRate := "-"
	if limiter.ReducedRate > 0 {
		reducedRate = fmt.Sprintf("%.2f", limiter.ReducedRate)
	}
	return fmt.Sprintf("%d\t%s\t%.0f\t%.0f\t%.1f\t%.2f\t%s\t%d\t%d of %d\t%s",
		limiter.Destination, wait, requests, accepts, limiter.Window, limiter.RateMultiplier, reducedRate,
		limiter.RejectionRun, unhealthy, len(limiter.Endpoints), strings.Join(endpoints, ", "))
}

func secondsBetween(from, to policy.Time) string {
	return fmt.Sprintf("%.1f s", float64(to-from)/1e6)
}

// runLearned runs "troutusher learned".
func runLearned(args []string, stdout, stderr io.Writer) int {
	const about = "What a relay keeps of its destinations across restarts."
	return runKong("learned", about, &learnedCommand{}, args, stdout, stderr)
}
