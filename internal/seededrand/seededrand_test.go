package seededrand

import (
	"math"
	"testing"
)

func TestHashIsStable(t *testing.T) {
	// Recordings hold seeds, not figures: these must never change.
	for _, c := range []struct {
		got, want uint64
	}{{Hash(1), 0x910a2dec89025cc1}, {Hash(1, 2, 3), 0x89f2c1d031cf97ea}} {
		if c.got != c.want {
			t.Errorf("hash %#x, want %#x", c.got, c.want)
		}
	}
	if Hash(1, 2) == Hash(1, 3) || Hash(1, 2) == Hash(2, 2) || Hash(1, 2, 3) == Hash(1, 3, 2) {
		t.Error("what it is for does not count")
	}
}

func TestMeansAndSpread(t *testing.T) {
	const n = 200_000
	for _, c := range []struct {
		d      Distribution
		cv, sd float64
	}{{Constant, 3, 0}, {Exponential, 3, 1}, {LogNormal, 0.5, 0.5}, {LogNormal, 1.3, 1.3}} {
		sum, sq := 0.0, 0.0
		for i := range uint64(n) {
			v := c.d.ServiceTime(c.cv, Float64(7, i, 0), Float64(7, i, 1))
			sum, sq = sum+v, sq+v*v
		}
		mean := sum / n
		sd := math.Sqrt(max(sq/n-mean*mean, 0))
		if math.Abs(mean-1) > 0.015 || math.Abs(sd-c.sd) > 0.06*max(c.sd, 0.01) {
			t.Errorf("%s cv %v: mean %.4f, deviation %.4f", c.d, c.cv, mean, sd)
		}
	}
}

func TestWeightedIndex(t *testing.T) {
	s := NewStream(3, 1)
	var n [4]int
	for range 100_000 {
		n[s.WeightedIndex([]float64{1, 0, 3, 0})]++
	}
	if n[1]+n[3] != 0 || math.Abs(float64(n[2])/float64(n[0])-3) > 0.1 {
		t.Errorf("picked %v, want 1 to 3", n)
	}
	if got := s.WeightedIndex([]float64{0, 0}); got != -1 {
		t.Errorf("no weights: %d", got)
	}
}
