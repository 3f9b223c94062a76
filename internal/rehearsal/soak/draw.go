package soak

import (
	"fmt"
	"strings"

	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/seededrand"
)

// Random streams of a run: of its scenario, of whether it is busy, and of copies of answers.
const (
	soakStream = 5400
	busyStream = 5401
	copyStream = 5402
)

const (
	crowdShare         = 0.25 // of the runs have a crowd beside the other faults
	busyShare          = 0.3  // of the runs have far more messages than the partners can take
	copyShare          = 0.5  // of the runs have partners that write answers a second time
	discoveryShare     = 0.4  // of the series have a discovery that is silent across them
	endpointFaultShare = 0.8  // of the series have an endpoint fault across them
	killShare          = 0.35 // of the series are kills alone

	seriesPerRelay   = 2   // series of signals for each relay of a run
	firstSeriesS     = 1.5 // seconds from the start of the run
	seriesIntervalS  = 6.5 // seconds from one series of a relay to the next: longer than a restart takes
	seriesJitterS    = 1.0 // largest random delay of a series, in seconds
	endOfRunS        = 1.5 // seconds of traffic after the last series has had its interval
	maxStepIntervalS = 0.08

	minRate     = 30 // messages per second
	rateRange   = 40
	minBusyRate = 250
	busyRange   = 150
)

// series are the step lists of RelaySignals faults that are drawn. Those that terminate or kill the relay are followed
// by a restart.
var series = []string{
	"term",
	"term",
	"hup,hup,term",
	"term,term",
	"term,hup",
	"badhup,term",
	"badhup,hup",
	"hup,hup,hup,hup,hup",
	"drain,hup,undrain",
	"drain,term",
	"drain,upgrade,undrain",
	"upgrade",
	"upgrade,hup",
	"hup,upgrade,hup",
	"upgrade,term",
	"term,upgrade",
	"kill,start,hup",
	"kill,start,term",
	"kill,start,hup,hup,term",
}

// endpointFaults are the faults of endpoints that are drawn, with their share and size as the scenario's format wants.
var endpointFaults = []struct{ kind, numbers string }{
	{"hang", ""},
	{"hang", ""},
	{"vanish", ""},
	{"crash", ""},
	{"reset", "share = 0.5\n"},
	{"errors", "share = 0.4\n"},
	{"slow", "size = 8\n"},
	{"full", ""},
	{"full_wait", "size = 1.0\n"},
}

// crowds are the floods that are drawn: idle connections, and half commands, with their number for each
// relay. They fill the relay's connections without keeping the emulators from their work.
var crowds = []struct {
	kind string
	size int
}{{"flood_silent", 300}, {"flood_ping", 150}, {"flood_drip", 60}, {"flood_returning", 150}}

const head = `version = 1
name = "soak-%d"
about = "drawn from seed %d"
seed = %d
length_s = %.2f
late_ms = 50
[relays]
count = 2
sockets = %d
[clients]
answer_ms = 400
retries = 2
backoff_ms = 100
bodies = %d
[discovery]
delay_ms = 100
spread_ms = 50
[rules]
drain_grace_ms = 2000
end_slack_ms = 300
restart_grace_ms = 1500
[traffic]
rate_per_s = %d
[[class]]
name = "safe"
share = 4
aim_ms = 1000
deadline_ms = %d
late_worth = 0.2
repeat = "safe"
[[class]]
name = "keyed"
share = 3
aim_ms = 1500
deadline_ms = %d
late_worth = 0.3
repeat = "keyed"
key_window_ms = 10000
[[class]]
name = "unsafe"
share = 3
aim_ms = 1500
deadline_ms = %d
late_worth = 0.4
worth = 3
repeat = "unsafe"
[[partner]]
name = "p"
endpoints = 2
capacity_per_s = 40
queue = 20
service_ms = { all = 60 }
[[partner]]
name = "q"
endpoints = 3
capacity_per_s = 40
queue = 20
service_ms = { all = 150 }
`

// drawer draws a scenario from a random stream.
type drawer struct {
	stream *seededrand.Stream
	text   strings.Builder
}

// intn returns a random number from 0 to n-1.
func (d *drawer) intn(n int) int { return min(int(d.stream.Float64()*float64(n)), n-1) }

// within returns a random number between two others.
func (d *drawer) within(least, most float64) float64 { return least + d.stream.Float64()*(most-least) }

// chance draws whether something with a probability happens.
func (d *drawer) chance(probability float64) bool { return d.stream.Float64() < probability }

// Draw returns the text of the scenario with a seed, as Rehearse plays it. The same seed always gives the same text.
func Draw(seed uint64) string {
	d := &drawer{stream: seededrand.NewStream(seed, soakStream)}
	crowd := d.chance(crowdShare)
	sockets := 512
	if crowd {
		sockets = 192 // fewer than the crowd's connections
	}
	const relays = 2
	length := firstSeriesS + seriesPerRelay*seriesIntervalS + endOfRunS
	bodies, rate := []int{0, 200, 20_000}[d.intn(3)], minRate+d.intn(rateRange)
	if draw := seededrand.Float64(seed, busyStream); draw < busyShare {
		rate = minBusyRate + int(draw/busyShare*busyRange)
	}
	fmt.Fprintf(
		&d.text,
		head,
		seed,
		seed,
		seed,
		length,
		sockets,
		bodies,
		rate,
		1500+d.intn(4000),
		3000+d.intn(6000),
		2000+d.intn(6000),
	)
	for relay := 1; relay <= relays; relay++ {
		for n := range seriesPerRelay {
			// The relays take turns, so that one of them serves during the restart of the other in most cases.
			at := firstSeriesS + float64(n)*seriesIntervalS + float64(relay-1)*seriesIntervalS/relays
			d.drawSeries(relay, at+d.within(0, seriesJitterS))
		}
	}
	if crowd {
		flood := crowds[d.intn(len(crowds))]
		d.fault(flood.kind, 0.5, length-1, fmt.Sprintf("size = %d\n", flood.size))
	}
	d.drawCopies(seed, length)
	return d.text.String()
}

// drawCopies draws partners that write a share of their answers a second time during the whole run: within
// milliseconds of the next call's last byte, or up to 0.3 s after it.
func (d *drawer) drawCopies(seed uint64, length float64) {
	copies := &drawer{stream: seededrand.NewStream(seed, copyStream)}
	if !copies.chance(copyShare) {
		return
	}
	latestS := []float64{0.003, 0.3}[copies.intn(2)]
	d.fault("late_copy", 0.1, length-0.2, fmt.Sprintf("partner = %q\nshare = %.2f\nsize = %.3f\n",
		[]string{"p", "q", "*"}[copies.intn(3)], copies.within(0.05, 0.5), latestS))
}

// drawSeries draws a series of signals to a relay, and the faults across it.
func (d *drawer) drawSeries(relay int, at float64) {
	if d.chance(killShare) {
		d.fault("relay_kill", at, 0.6, fmt.Sprintf("relay = %d\n", relay))
	} else {
		d.fault("signals", at, 0, fmt.Sprintf("relay = %d\nform = %q\nsize = %.4f\n",
			relay, series[d.intn(len(series))], d.within(0, maxStepIntervalS)))
	}
	if d.chance(endpointFaultShare) {
		fault := endpointFaults[d.intn(len(endpointFaults))]
		partner := []string{"p", "q", "*"}[d.intn(3)]
		d.fault(fault.kind, max(at-d.within(0, 1), 0.2), d.within(0.5, 5),
			fmt.Sprintf("partner = %q\npart = %.2f\n%s", partner, d.within(0.3, 1), fault.numbers))
	}
	if d.chance(discoveryShare) {
		d.fault("list_silent", max(at-d.within(0, 1), 0.2), d.within(0.5, 6), fmt.Sprintf("relay = %d\n", relay))
	}
}

// fault adds a [[fault]] table. A length of 0 is left out.
func (d *drawer) fault(kind string, at, length float64, more string) {
	fmt.Fprintf(&d.text, "[[fault]]\nkind = %q\nat_s = %.3f\n", kind, at)
	if length > 0 {
		fmt.Fprintf(&d.text, "length_s = %.3f\n", length)
	}
	d.text.WriteString(more)
}

// plan returns the plan of the run with a seed.
func plan(seed uint64) (*scenario.Plan, error) {
	s, err := scenario.Parse(fmt.Sprintf("soak seed %d", seed), []byte(Draw(seed)))
	if err != nil {
		return nil, err
	}
	return s.Plan(seed), nil
}
