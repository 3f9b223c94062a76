package policy

import "math"

const latencyGain = 8 // a new value has a weight of 1/latencyGain

// latencyEstimate is an exponentially smoothed mean and mean deviation, in µs.
type latencyEstimate struct {
	mean, deviation float64
	count           int // values added so far
}

// add updates the estimate with a new value. The first value is the mean, and half of it the deviation.
func (l *latencyEstimate) add(value float64) {
	l.count++
	if l.count == 1 {
		l.mean = value
		l.deviation = value / 2
		return
	}
	l.deviation += (math.Abs(value-l.mean) - l.deviation) / latencyGain
	l.mean += (value - l.mean) / latencyGain
}

// upperBound returns multiple times the sum of mean and deviation; 0 if no value has been added.
func (l *latencyEstimate) upperBound(multiple float64) float64 {
	return multiple*l.mean + multiple*l.deviation
}
