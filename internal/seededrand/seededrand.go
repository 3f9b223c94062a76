// Package seededrand generates pseudo-random numbers that depend only on a seed and on a purpose, which is a list of
// numbers. They depend neither on the order of the calls nor on the Go release, so that a recording that is replayed
// years later draws the same numbers.
package seededrand

import "math"

// increment is the increment of SplitMix64: 2^64 divided by the golden ratio.
const increment = 0x9e3779b97f4a7c15

// Hash hashes a seed and the numbers of a purpose with SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
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

// mantissaBits is the number of bits of an integer that a float64 represents exactly.
const mantissaBits = 53

// Float64 returns the number in (0, 1) for a seed and a purpose.
func Float64(seed uint64, purpose ...uint64) float64 {
	return (float64(Hash(seed, purpose...)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// Stream is a sequence of random numbers for one purpose.
type Stream struct{ seed, count uint64 }

// NewStream returns the stream for a seed and a purpose.
func NewStream(seed uint64, purpose ...uint64) *Stream { return &Stream{seed: Hash(seed, purpose...)} }

// Float64 returns the next number, in (0, 1).
func (s *Stream) Float64() float64 {
	s.count++
	return Float64(s.seed, s.count)
}

// ExpFloat64 returns the next number, exponentially distributed with mean 1.
func (s *Stream) ExpFloat64() float64 { return -math.Log(s.Float64()) }

// WeightedIndex returns a random index of weights, each with a probability in proportion to its weight, or -1 if no
// weight is above 0.
func (s *Stream) WeightedIndex(weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	remaining, lastPositive := s.Float64()*sum, -1
	for i, weight := range weights {
		if weight <= 0 {
			continue
		}
		lastPositive = i
		if remaining < weight {
			return i
		}
		remaining -= weight
	}
	return lastPositive // rounding of the sum can leave a remainder after the last weight
}

// Distribution names a distribution of service times.
type Distribution string

// Distributions of service times.
const (
	Constant    Distribution = "fixed"     // always the mean
	Exponential Distribution = "exp"       // exponential, with a coefficient of variation of 1
	LogNormal   Distribution = "lognormal" // log-normal, with a coefficient of variation that the caller chooses
)

// ServiceTime converts two independent uniform random numbers in (0, 1) to a service time with mean 1. variation is the
// coefficient of variation, which only LogNormal uses.
func (d Distribution) ServiceTime(variation, u1, u2 float64) float64 {
	switch d {
	case Exponential:
		return -math.Log(u1)
	case LogNormal:
		variance := math.Log(1 + variation*variation)
		normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2) // Box-Muller transform
		return math.Exp(math.Sqrt(variance)*normal - variance/2)
	case Constant:
	}
	return 1
}
