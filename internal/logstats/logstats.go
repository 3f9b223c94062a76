// Package logstats adds up the logs of the relays of one fleet: what each of
// them counted by second and destination, when it learned of an endpoint list,
// how its calls to discovery ended, and when it was ready. It reads nothing but
// the relays' own log lines, and assumes nothing that they do not say.
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
	maxCount          = 1 << 40 // of one name in one second; more is damage
	maxSecondSpan     = 1 << 17 // seconds that a report may span: a wrong clock must not fill the memory
	maxPolicyMessages = 1000    // different messages of the policies that are kept
)

// Texts and keys of log lines that no other package defines.
const (
	discoveryCallText = "discovery: call over"
	listText          = "list"
	policyText        = "policy"
)

// errNoLogs: a folder without a log that can be read.
var errNoLogs = errors.New("no readable log")

// Counts are sums by name.
type Counts map[string]int64

func (c Counts) addAll(other Counts) {
	for name, n := range other {
		c[name] += n
	}
}

// HandedBack is how many messages were handed back or rejected by the policy,
// whatever its reason.
func (c Counts) HandedBack() (sum int64) {
	for name, n := range c {
		if strings.HasPrefix(name, metrics.HandedBackPrefix) {
			sum += n
		}
	}
	return sum
}

// ListRevision is a revision of the endpoint list, with the times at which
// relays received it.
type ListRevision struct {
	Revision            int64
	FirstSeen, LastSeen time.Time
	Relays              int
}

// Report is what the logs of a fleet add up to.
type Report struct {
	Relays                  []string // with lines that could be read
	EmptyFiles              []string // without one
	ForeignLines            int      // that are not of a relay's log
	TruncatedLines          int      // last lines without an end
	InvalidCounts           int      // of a second far from all others, or out of range
	FirstSecond, LastSecond int64    // of what was counted, in Unix time
	Starts                  []time.Time
	Destinations            []int // in order
	DiscoveryCalls          Counts
	ListRevisions           []ListRevision
	LongestStep             time.Duration  // of any relay's event loop
	LongestStepAt           string         // the relay and the second of it
	PolicyMessages          map[string]int // number of relays by what their policies logged

	baseSecond int64 // the first second that was read
	bySecond   map[int64]map[int]Counts
	byRelay    map[string]map[int]Counts
}

// CountsAt is what all relays together counted in one second, for one destination.
func (r *Report) CountsAt(second int64, dest int) Counts { return r.bySecond[second][dest] }

// SecondTotals is what all relays together counted in one second.
func (r *Report) SecondTotals(second int64) Counts {
	sum := Counts{}
	for _, counts := range r.bySecond[second] {
		sum.addAll(counts)
	}
	return sum
}

// DestinationTotals is what all relays together counted for one destination.
func (r *Report) DestinationTotals(dest int) Counts {
	sum := Counts{}
	for _, byDestination := range r.bySecond {
		sum.addAll(byDestination[dest])
	}
	return sum
}

// MedianAndMaxPerRelay tells how a count of a destination is spread over the relays.
func (r *Report) MedianAndMaxPerRelay(dest int, name string) (median, most int64) {
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

// ReadReport adds up the files *.log of a folder, one for each relay; name is what
// errors call the folder.
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

	relay         string          // whose lines are being read
	relayMessages map[string]bool // logged by its policy
	relayLists    map[int64]bool  // revisions that it has received
}

// add adds a line of a relay. All lines of one relay come in a row.
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

// addList notes that a relay has received a revision of the list.
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

// finish completes the report, once all lines are added.
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

// addStep takes the longest step of a relay's event loop in a second.
func (r *Report) addStep(relay string, line *logLine) {
	micros, err := strconv.ParseInt(line.fields[metrics.LongestStepKey], 10, 64)
	if err != nil || micros >= maxCount {
		return
	}
	if step := time.Duration(micros) * time.Microsecond; step > r.LongestStep {
		r.LongestStep, r.LongestStepAt = step, relay+" in second "+line.fields["second"]
	}
}

// addCounts adds the counts of a relay in a second.
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
