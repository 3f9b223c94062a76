// Package logstats evaluates the logs of all relays of a fleet. It sums the relays' metrics by second
// and destination, and reports when each relay received a revision of the endpoint list, how its calls
// to discovery ended, and when it was ready. The relays' log lines are its only input.
package logstats

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
)

const (
	maxCount          = 1 << 40 // a higher count for one second means that the log is damaged
	maxSecondSpan     = 1 << 17 // maximum distance from the first second read, in s; bounds memory if a clock is wrong
	maxPolicyMessages = 1000    // maximum number of different policy messages that a report keeps
)

// Texts of log lines that no other package exports.
const (
	discoveryCallText = "discovery: call over"
	listText          = "list"
	policyText        = "policy"
)

// errNoLogs is returned for a folder in which no file *.log has a readable line.
var errNoLogs = errors.New("no readable log")

// Counts maps names of counts, which package metrics defines, to sums of these counts.
type Counts map[string]int64

func (c Counts) addAll(other Counts) {
	for name, n := range other {
		c[name] += n
	}
}

// HandedBack returns the number of messages that the policy rejected, or accepted and then handed back
// to their clients to be submitted again, for any reason.
func (c Counts) HandedBack() (sum int64) {
	for name, n := range c {
		if strings.HasPrefix(name, metrics.HandedBackPrefix) {
			sum += n
		}
	}
	return sum
}

// ListRevision describes when the relays received a revision of the endpoint list.
type ListRevision struct {
	Revision            int64
	FirstSeen, LastSeen time.Time // when the first and the last relay received it
	Relays              int       // number of relays that received it
}

// Report holds the sums over the logs of a fleet.
type Report struct {
	Relays                  []string    // relays with at least one readable line
	EmptyFiles              []string    // files without a readable line
	ForeignLines            int         // lines that are not a relay's log lines
	TruncatedLines          int         // last lines of files that are incomplete
	InvalidCounts           int         // counts out of range, and metrics lines whose second is far from the first one
	FirstSecond, LastSecond int64       // the first and the last second with counts, in Unix time
	Starts                  []time.Time // when relays became ready, in ascending order
	Destinations            []int       // in ascending order
	DiscoveryCalls          Counts      // number of ended calls, by how they ended; "calls" counts all of them
	ListRevisions           []ListRevision
	LongestStep             time.Duration  // the longest step of any relay's event loop
	LongestStepAt           string         // the relay and the second of the longest step
	PolicyMessages          map[string]int // number of relays whose policy logged a message, by message

	baseSecond int64 // the second of the first metrics line that was read; valid once bySecond has an entry
	bySecond   map[int64]map[int]Counts
	byRelay    map[string]map[int]Counts
}

// CountsAt returns the sums over all relays for one second and one destination.
func (r *Report) CountsAt(second int64, dest int) Counts { return r.bySecond[second][dest] }

// SecondTotals returns the sums over all relays and destinations for one second.
func (r *Report) SecondTotals(second int64) Counts {
	sum := Counts{}
	for _, counts := range r.bySecond[second] {
		sum.addAll(counts)
	}
	return sum
}

// DestinationTotals returns the sums over all relays and seconds for one destination.
func (r *Report) DestinationTotals(dest int) Counts {
	sum := Counts{}
	for _, byDestination := range r.bySecond {
		sum.addAll(byDestination[dest])
	}
	return sum
}

// MedianAndMaxPerRelay compares the relays: it sums the count called name for one destination over the
// seconds of each relay, and returns the median and the maximum of these sums.
func (r *Report) MedianAndMaxPerRelay(dest int, name string) (median, maximum int64) {
	counts := make([]int64, 0, len(r.Relays))
	for _, relay := range r.Relays {
		counts = append(counts, r.byRelay[relay][dest][name])
	}
	if len(counts) == 0 {
		return 0, 0
	}
	slices.Sort(counts)
	return counts[len(counts)/2], counts[len(counts)-1]
}

// ReadReport reads the files *.log in dir, one for each relay, and returns their sums. name is the
// folder's name in errors.
func ReadReport(dir fs.FS, name string) (*Report, error) {
	reader := reportReader{
		report: &Report{
			DiscoveryCalls: Counts{}, PolicyMessages: map[string]int{},
			bySecond: map[int64]map[int]Counts{}, byRelay: map[string]map[int]Counts{},
		},
		lists: map[int64]*ListRevision{},
	}
	input, err := forEachLine(dir, name, reader.add)
	if err != nil {
		return nil, err
	}
	return reader.finish(input), nil
}

// reportReader builds a report line by line.
type reportReader struct {
	report *Report
	lists  map[int64]*ListRevision // by revision

	relay         string          // the relay whose lines are being read
	relayMessages map[string]bool // messages that this relay's policy has logged
	relayLists    map[int64]bool  // revisions of the endpoint list that this relay has received
}

// add adds a line of a relay. The caller passes all lines of one relay before those of the next one.
func (rr *reportReader) add(relay string, line *logLine) {
	if rr.relayMessages == nil || relay != rr.relay {
		rr.relay, rr.relayMessages, rr.relayLists = relay, map[string]bool{}, map[int64]bool{}
	}
	r := rr.report
	switch line.text {
	case metrics.LogText:
		r.addStep(relay, line)
		r.addCounts(relay, line)
	case msgtrace.Ready:
		r.Starts = append(r.Starts, line.time)
	case discoveryCallText:
		r.DiscoveryCalls["calls"]++
		r.DiscoveryCalls[line.fields["end"]]++
	case listText:
		rr.addList(line)
	case policyText:
		message := line.fields["says"]
		if !rr.relayMessages[message] && len(r.PolicyMessages) < maxPolicyMessages {
			rr.relayMessages[message] = true
			r.PolicyMessages[message]++
		}
	}
}

// addList records that a relay received a revision of the endpoint list. Only the first time counts.
func (rr *reportReader) addList(line *logLine) {
	revision, err := strconv.ParseInt(line.fields["revision"], 10, 64)
	if err != nil || rr.relayLists[revision] {
		return
	}
	rr.relayLists[revision] = true
	list := rr.lists[revision]
	if list == nil {
		list = &ListRevision{Revision: revision, FirstSeen: line.time, LastSeen: line.time}
		rr.lists[revision] = list
	}
	list.Relays++
	if line.time.Before(list.FirstSeen) {
		list.FirstSeen = line.time
	}
	if line.time.After(list.LastSeen) {
		list.LastSeen = line.time
	}
}

// finish completes the report after all lines have been added.
func (rr *reportReader) finish(input *inputSummary) *Report {
	r := rr.report
	r.Relays, r.EmptyFiles = input.relays, input.emptyFiles
	r.ForeignLines, r.TruncatedLines = input.foreignLines, input.truncatedLines
	for _, revision := range slices.Sorted(maps.Keys(rr.lists)) {
		r.ListRevisions = append(r.ListRevisions, *rr.lists[revision])
	}
	destinations := map[int]bool{}
	for _, byDestination := range r.bySecond {
		for dest := range byDestination {
			destinations[dest] = true
		}
	}
	r.Destinations = slices.Sorted(maps.Keys(destinations))
	slices.SortFunc(r.Starts, time.Time.Compare)
	return r
}

// addStep updates the longest step of an event loop with the one that a relay logged for a second.
func (r *Report) addStep(relay string, line *logLine) {
	micros, err := strconv.ParseInt(line.fields[metrics.LongestStepKey], 10, 64)
	if err != nil || micros >= maxCount {
		return
	}
	if step := time.Duration(micros) * time.Microsecond; step > r.LongestStep {
		r.LongestStep, r.LongestStepAt = step, relay+" in second "+line.fields["second"]
	}
}

// addCounts adds the counts that a relay logged for a second.
func (r *Report) addCounts(relay string, line *logLine) {
	second, err := strconv.ParseInt(line.fields["second"], 10, 64)
	if len(r.bySecond) == 0 && err == nil {
		r.baseSecond, r.FirstSecond, r.LastSecond = second, second, second
	}
	if err != nil || second < 0 || second < r.baseSecond-maxSecondSpan || second > r.baseSecond+maxSecondSpan {
		r.InvalidCounts++
		return
	}
	r.FirstSecond, r.LastSecond = min(r.FirstSecond, second), max(r.LastSecond, second)
	if r.bySecond[second] == nil {
		r.bySecond[second] = map[int]Counts{}
	}
	if r.byRelay[relay] == nil {
		r.byRelay[relay] = map[int]Counts{}
	}
	for _, key := range line.keys {
		dest, name, ok := metrics.ParseKey(key)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(line.fields[key], 10, 64)
		if err != nil || n < 0 || n > maxCount {
			r.InvalidCounts++
			continue
		}
		for _, byDestination := range []map[int]Counts{r.bySecond[second], r.byRelay[relay]} {
			if byDestination[dest] == nil {
				byDestination[dest] = Counts{}
			}
			byDestination[dest][name] += n
		}
	}
}
