package console

import (
	"strconv"
	"sync/atomic"
)

// MetricPrefix of every figure's name.
const MetricPrefix = "edge_router."

// Outcomes are how many messages of a class ended in each way.
type Outcomes struct{ Delivered, Deferred, Failed int64 }

// Stats shows figures that are counted elsewhere: the loop writes them as it
// counts, callers read them without it. Each is right by itself; two read
// together may be a moment apart.
type Stats struct {
	classes            []string
	outcomes           [][3]atomic.Int64
	Sends              atomic.Int64 // messages written whole to endpoints
	Pending            atomic.Int64 // messages taken and not ended
	Endpoints          atomic.Int64 // endpoints that the list holds
	UnhealthyEndpoints atomic.Int64 // of them, those that get nothing new now
	shed               []atomic.Int64
}

// NewStats makes the board for the classes, in the settings' order.
func NewStats(classes []string) *Stats {
	return &Stats{classes: classes, outcomes: make([][3]atomic.Int64, len(classes)), shed: make([]atomic.Int64, len(classes))}
}

// SetOutcomes puts up how messages of a class have ended so far.
func (b *Stats) SetOutcomes(class int, e Outcomes) {
	b.outcomes[class][0].Store(e.Delivered)
	b.outcomes[class][1].Store(e.Deferred)
	b.outcomes[class][2].Store(e.Failed)
}

// AddShed counts a message that was refused before the loop saw it.
func (b *Stats) AddShed(class int) { b.shed[class].Add(1) }

// AppendTo writes all figures, a line each, in the form of statsd: counters of
// this process since its start (c) and gauges (g).
func (b *Stats) AppendTo(to []byte) []byte {
	line := func(name, class string, v int64, kind string) {
		to = append(append(to, MetricPrefix...), name...)
		if class != "" {
			to = append(append(to, '.'), class...)
		}
		to = append(strconv.AppendInt(append(to, ':'), v, 10), kind...)
	}
	for i, c := range b.classes {
		e := &b.outcomes[i]
		line("answered", c, e[0].Load(), "|c\n")
		line("deferred", c, e[1].Load()+b.shed[i].Load(), "|c\n")
		line("errored", c, e[2].Load(), "|c\n")
	}
	line("sends", "", b.Sends.Load(), "|c\n")
	line("current", "", b.Pending.Load(), "|g\n")
	line("cluster_size", "", b.Endpoints.Load(), "|g\n")
	line("cluster_unhealthy", "", b.UnhealthyEndpoints.Load(), "|g\n")
	return to
}
