package console

import (
	"strconv"
	"sync/atomic"
)

// MetricPrefix is the prefix of all metric names.
const MetricPrefix = "edge_router."

// Ends of a metric's line, by kind of metric, in statsd format.
const (
	counter = "|c\n"
	gauge   = "|g\n"
)

// Outcomes counts the finished messages of a class by outcome. Deferred messages were rejected or handed
// back to their clients, so that submitting them again does no harm.
type Outcomes struct{ Delivered, Deferred, Failed int64 }

// Stats holds the metrics that the console shows. The event loop updates them, and the console reads
// them without involving the event loop. Each value is exact, but values that are read together can
// differ by the updates in between.
type Stats struct {
	classes []classStats

	Sends              atomic.Int64 // calls written completely to an endpoint; each attempt of a message counts
	Pending            atomic.Int64 // messages accepted and not finished
	Endpoints          atomic.Int64 // endpoints in the list
	UnhealthyEndpoints atomic.Int64 // the part of Endpoints that gets no new messages at present
}

// classStats are the metrics of one class: counts of its messages since the start of the process.
type classStats struct {
	name                        string
	delivered, deferred, failed atomic.Int64
	shed                        atomic.Int64 // rejected before they reached the event loop; shown as deferred
}

// NewStats returns metrics for the given classes of messages. A class is identified by its index in the
// slice.
func NewStats(classes []string) *Stats {
	s := &Stats{classes: make([]classStats, len(classes))}
	for i, name := range classes {
		s.classes[i].name = name
	}
	return s
}

// SetOutcomes sets the outcomes of a class's messages since the start of the process.
func (s *Stats) SetOutcomes(class int, outcomes Outcomes) {
	c := &s.classes[class]
	c.delivered.Store(outcomes.Delivered)
	c.deferred.Store(outcomes.Deferred)
	c.failed.Store(outcomes.Failed)
}

// AddShed counts a message of a class that was shed before it reached the event loop.
func (s *Stats) AddShed(class int) { s.classes[class].shed.Add(1) }

// AppendTo appends all metrics to buffer in statsd format, one line for each: counters since the start
// of the process (c) and gauges (g).
func (s *Stats) AppendTo(buffer []byte) []byte {
	for i := range s.classes {
		c := &s.classes[i]
		buffer = appendClassMetric(buffer, "answered", c.name, c.delivered.Load())
		buffer = appendClassMetric(buffer, "deferred", c.name, c.deferred.Load()+c.shed.Load())
		buffer = appendClassMetric(buffer, "errored", c.name, c.failed.Load())
	}
	buffer = appendMetric(buffer, "sends", s.Sends.Load(), counter)
	buffer = appendMetric(buffer, "current", s.Pending.Load(), gauge)
	buffer = appendMetric(buffer, "cluster_size", s.Endpoints.Load(), gauge)
	return appendMetric(buffer, "cluster_unhealthy", s.UnhealthyEndpoints.Load(), gauge)
}

// appendClassMetric appends a counter of one class.
func appendClassMetric(buffer []byte, name, class string, value int64) []byte {
	buffer = append(buffer, MetricPrefix...)
	buffer = append(buffer, name...)
	buffer = append(buffer, '.')
	buffer = append(buffer, class...)
	return appendValue(buffer, value, counter)
}

func appendMetric(buffer []byte, name string, value int64, kind string) []byte {
	buffer = append(buffer, MetricPrefix...)
	buffer = append(buffer, name...)
	return appendValue(buffer, value, kind)
}

func appendValue(buffer []byte, value int64, kind string) []byte {
	buffer = append(buffer, ':')
	buffer = strconv.AppendInt(buffer, value, 10)
	return append(buffer, kind...)
}
