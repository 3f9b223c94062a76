package policy

import "math"

const latencyGain = 8 // a new value counts for one part in so many

// latencyEstimate is a smoothed mean and deviation, in µs.
type latencyEstimate struct {
	mean, deviation float64
	count           int
}

func (l *latencyEstimate) add(value float64) {
	l.count++
	if l.count == 1 {
		l.mean, l.deviation = value, value/2
		return
	}
	l.deviation += (math.Abs(value-l.mean) - l.deviation) / latencyGain
	l.mean += (value - l.mean) / latencyGain
}

// upperBound is so many times the mean and the deviation; 0 where nothing has been added.
func (l *latencyEstimate) upperBound(multiple float64) float64 {
	return multiple*l.mean + multiple*l.deviation
}
