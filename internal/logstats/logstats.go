// Package logstats adds up the logs of the relays of one fleet: what each of
// them counted by second and destination, when it learned of a list, how its
// calls to discovery ended, and when it was ready. It reads the relay's own log
// lines and guesses nothing that they do not say.
package logstats

import (
	"bufio"
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/metrics"
)

const (
	lineMost   = 1 << 20 // bytes of a line; the rest of a longer one is left out
	countMost  = 1 << 40 // of one name in one second
	secondsMax = 1 << 17 // seconds that a day may span: a wrong clock must not fill the memory
)

// Counts are sums by name.
type Counts map[string]int64

func (c Counts) add(o Counts) {
	for k, n := range o {
		c[k] += n
	}
}

// List is news of the list, with the moments at which relays heard of it.
type List struct {
	Revision    int64
	First, Last time.Time
	Relays      int
}

// Day is what a fleet's logs say together.
type Day struct {
	Relays    []string // with lines that could be read
	Empty     []string // files with none
	Foreign   int      // lines that are no lines of a relay's log
	Torn      int      // last lines that end in the middle
	Strange   int      // lines of a tally that name a second far from all others, or count what cannot be
	From, To  int64    // seconds of Unix time, of what was counted; To is the last one
	Starts    []time.Time
	Dests     []int // in order
	Discovery Counts
	Lists     []List
	Longest   time.Duration  // the longest step of any relay's loop ...
	LongestAt string         // ... and whose, and in which second
	Says      map[string]int // the policies' own words, by how many relays

	origin int64                    // the first second that was read
	cells  map[int64]map[int]Counts // by second and destination
	own    map[string]map[int]Counts
}

// At is what all relays together counted in one second, for one destination.
func (d *Day) At(second int64, dest int) Counts { return d.cells[second][dest] }

// Second is the same for all destinations.
func (d *Day) Second(second int64) Counts {
	sum := Counts{}
	for _, c := range d.cells[second] {
		sum.add(c)
	}
	return sum
}

// Dest is the same for all seconds.
func (d *Day) Dest(dest int) Counts {
	sum := Counts{}
	for _, dests := range d.cells {
		sum.add(dests[dest])
	}
	return sum
}

// Spread is how a count of a destination lies over the relays: what the relay
// in the middle has, and the one with most.
func (d *Day) Spread(dest int, what string) (median, most int64) {
	all := make([]int64, 0, len(d.Relays))
	for _, r := range d.Relays {
		all = append(all, d.own[r][dest][what])
	}
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}

// Handed is how many messages were handed back or refused by the rules that
// the names end in.
func (c Counts) Handed() (sum int64) {
	for k, n := range c {
		if strings.HasPrefix(k, metrics.HandedBackPrefix) {
			sum += n
		}
	}
	return sum
}

// errNothing: a folder without a log that can be read.
var errNothing = errors.New("no readable log")

// Read adds up the files *.log of a folder, one for each relay; name is what
// errors call the folder.
func Read(dir fs.FS, name string) (*Day, error) {
	d := &Day{
		Discovery: Counts{}, Says: map[string]int{}, cells: map[int64]map[int]Counts{},
		own: map[string]map[int]Counts{},
	}
	lists := map[int64]*List{}
	var now string // the relay whose lines these are
	var said map[string]bool
	var heard map[int64]bool
	l, err := each(dir, name, func(relay string, e *entry) {
		if said == nil || relay != now {
			now, said, heard = relay, map[string]bool{}, map[int64]bool{}
		}
		d.take(relay, e, lists, said, heard)
	})
	if err != nil {
		return nil, err
	}
	d.Relays, d.Empty, d.Foreign, d.Torn = l.relays, l.empty, l.foreign, l.torn
	for _, rev := range slices.Sorted(maps.Keys(lists)) {
		d.Lists = append(d.Lists, *lists[rev])
	}
	d.finish()
	return d, nil
}

// line reads one line; whole is false for one that is too long or has no end.
func line(in *bufio.Reader) (text []byte, whole bool, err error) {
	long := false
	for {
		part, err := in.ReadSlice('\n')
		if len(text)+len(part) > lineMost {
			long = true
		} else {
			text = append(text, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		whole = !long && err == nil
		return bytes.TrimRight(text, "\r\n"), whole, err
	}
}

// take adds up what one line says.
func (d *Day) take(relay string, e *entry, lists map[int64]*List, said map[string]bool, heard map[int64]bool) {
	when, fields, order := e.when, e.fields, e.order
	switch fields["msg"] {
	case metrics.LogText:
		if us, err := strconv.ParseInt(fields[metrics.LongestStepKey], 10, 64); err == nil && us < countMost {
			if step := time.Duration(us) * time.Microsecond; step > d.Longest {
				d.Longest, d.LongestAt = step, relay+" in second "+fields["second"]
			}
		}
		d.count(relay, fields, order)
	case "ready":
		d.Starts = append(d.Starts, when)
	case "discovery: call over":
		d.Discovery["calls"]++
		d.Discovery[fields["end"]]++
	case "list":
		rev, err := strconv.ParseInt(fields["revision"], 10, 64)
		if err != nil || heard[rev] {
			break
		}
		heard[rev] = true
		l := lists[rev]
		if l == nil {
			l = &List{Revision: rev, First: when, Last: when}
			lists[rev] = l
		}
		l.Relays++
		if when.Before(l.First) {
			l.First = when
		}
		if when.After(l.Last) {
			l.Last = when
		}
	case "policy":
		if s := fields["says"]; !said[s] && len(d.Says) < 1000 {
			said[s] = true
			d.Says[s]++
		}
	}
}

func (d *Day) count(relay string, fields map[string]string, order []string) {
	second, err := strconv.ParseInt(fields["second"], 10, 64)
	if len(d.cells) == 0 && err == nil {
		d.origin, d.From, d.To = second, second, second
	}
	if err != nil || second < 0 || second < d.origin-secondsMax || second > d.origin+secondsMax {
		d.Strange++
		return
	}
	d.From, d.To = min(d.From, second), max(d.To, second)
	if d.cells[second] == nil {
		d.cells[second] = map[int]Counts{}
	}
	if d.own[relay] == nil {
		d.own[relay] = map[int]Counts{}
	}
	for _, k := range order {
		dest, what, ok := metrics.ParseKey(k)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(fields[k], 10, 64)
		if err != nil || n < 0 || n > countMost {
			d.Strange++
			continue
		}
		for _, m := range []map[int]Counts{d.cells[second], d.own[relay]} {
			if m[dest] == nil {
				m[dest] = Counts{}
			}
			m[dest][what] += n
		}
	}
}

func (d *Day) finish() {
	dests := map[int]bool{}
	for _, m := range d.cells {
		for id := range m {
			dests[id] = true
		}
	}
	d.Dests = slices.Sorted(maps.Keys(dests))
	slices.SortFunc(d.Starts, time.Time.Compare)
}
