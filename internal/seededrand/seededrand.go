// Package seededrand makes random numbers that depend on a seed and on their purpose, and on nothing else: not on the
// order in which they are asked for, nor on the Go release. A recording that is played years later draws the same.
package seededrand

import "math"

// increment is the step of SplitMix64: 2^64 over the golden ratio.
const increment = 0x9e3779b97f4a7c15

// Hash mixes a seed with the numbers that name the purpose (SplitMix64, Steele, Lea and Flood, OOPSLA 2014).
func Hash(seed uint64, purpose ...uint64) uint64 {
	hash := mix(seed + increment)
	for _, number := range purpose {
		hash = mix(hash ^ mix(number+increment))
	}
	return hash
}

// mix is the output function of SplitMix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// mantissaBits is the number of bits that a float64 holds exactly.
const mantissaBits = 53

// Float64 is a number in (0, 1).
func Float64(seed uint64, purpose ...uint64) float64 {
	return (float64(Hash(seed, purpose...)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// Stream draws one number after another.
type Stream struct{ seed, count uint64 }

// NewStream makes a stream for one purpose.
func NewStream(seed uint64, purpose ...uint64) *Stream { return &Stream{seed: Hash(seed, purpose...)} }

// Float64 is the next number in (0, 1).
func (s *Stream) Float64() float64 {
	s.count++
	return Float64(s.seed, s.count)
}

// ExpFloat64 is the next number of an exponential distribution with mean 1.
func (s *Stream) ExpFloat64() float64 { return -math.Log(s.Float64()) }

// WeightedIndex is an index drawn by weight; -1 where no weight is above 0.
func (s *Stream) WeightedIndex(weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	at, last := s.Float64()*sum, -1
	for i, weight := range weights {
		if weight <= 0 {
			continue
		}
		last = i
		if at < weight {
			return i
		}
		at -= weight
	}
	return last // the sum was rounded
}

// Distribution names a distribution of service times.
type Distribution string

// Distributions.
const (
	Constant    Distribution = "fixed"     // always the mean
	Exponential Distribution = "exp"       // exponential; its coefficient of variation is 1
	LogNormal   Distribution = "lognormal" // log-normal with the coefficient of variation that is given
)

// ServiceTime draws a service time of mean 1 from two numbers in (0, 1); variation is its coefficient of variation.
func (d Distribution) ServiceTime(variation, u1, u2 float64) float64 {
	switch d {
	case Exponential:
		return -math.Log(u1)
	case LogNormal:
		variance := math.Log(1 + variation*variation)
		normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2) // Box and Muller
		return math.Exp(math.Sqrt(variance)*normal - variance/2)
	case Constant:
	}
	return 1
}
