// Package seededrand makes random figures that depend on a seed and on what they are
// for, and on nothing else: not on the order in which they are asked for, nor
// on the Go release. A recording that is played years later draws the same.
package seededrand

import "math"

// Hash mixes a seed with the numbers that say what the figure is for
// (SplitMix64, Steele, Lea and Flood, OOPSLA 2014).
func Hash(seed uint64, of ...uint64) uint64 {
	h := mix(seed + 0x9e3779b97f4a7c15)
	for _, x := range of {
		h = mix(h ^ mix(x+0x9e3779b97f4a7c15))
	}
	return h
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Float64 is a figure in (0, 1).
func Float64(seed uint64, of ...uint64) float64 {
	return (float64(Hash(seed, of...)>>11) + 0.5) / (1 << 53)
}

// Stream draws one figure after another.
type Stream struct{ seed, n uint64 }

// NewStream makes a stream of its own for what it is used for.
func NewStream(seed uint64, of ...uint64) *Stream { return &Stream{seed: Hash(seed, of...)} }

// Float64 is the next figure in (0, 1).
func (s *Stream) Float64() float64 {
	s.n++
	return Float64(s.seed, s.n)
}

// ExpFloat64 is the next figure of an exponential distribution with mean 1.
func (s *Stream) ExpFloat64() float64 { return -math.Log(s.Float64()) }

// WeightedIndex is an index drawn by weight; -1 where no weight is above 0.
func (s *Stream) WeightedIndex(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at, last := s.Float64()*sum, -1
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		if last = i; at < w {
			return i
		}
		at -= w
	}
	return last
}

// Distribution names a distribution of service times.
type Distribution string

// Distributions.
const (
	Constant    Distribution = "fixed"     // always the mean
	Exponential Distribution = "exp"       // exponential; its coefficient of variation is 1
	LogNormal   Distribution = "lognormal" // log-normal with the coefficient of variation that is given
)

// ServiceTime draws a service time of mean 1 from two figures in (0, 1).
func (d Distribution) ServiceTime(cv, u1, u2 float64) float64 {
	switch d {
	case Exponential:
		return -math.Log(u1)
	case LogNormal:
		s2 := math.Log(1 + cv*cv)
		z := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
		return math.Exp(math.Sqrt(s2)*z - s2/2)
	}
	return 1
}
