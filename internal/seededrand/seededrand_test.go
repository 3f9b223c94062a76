package seededrand

import (
	"math"
	"testing"
)

func TestHashIsStable(t *testing.T) {
	// Recordings store seeds instead of the numbers drawn from them, so these hashes must never change.
	for _, tt := range []struct {
		got, want uint64
	}{{Hash(1), 0x910a2dec89025cc1}, {Hash(1, 2, 3), 0x89f2c1d031cf97ea}} {
		if tt.got != tt.want {
			t.Errorf("Hash() = %#x, want %#x", tt.got, tt.want)
		}
	}
	if Hash(1, 2) == Hash(1, 3) || Hash(1, 2) == Hash(2, 2) || Hash(1, 2, 3) == Hash(1, 3, 2) {
		t.Error("Hash returned the same value for different seeds or purposes")
	}
}

// TestMeansAndSpread checks the mean and the standard deviation of each distribution of service times.
func TestMeansAndSpread(t *testing.T) {
	const n = 200_000
	for _, tt := range []struct {
		distribution  Distribution
		variation, sd float64 // coefficient of variation, and the wanted standard deviation
	}{{Constant, 3, 0}, {Exponential, 3, 1}, {LogNormal, 0.5, 0.5}, {LogNormal, 1.3, 1.3}} {
		sum, sumOfSquares := 0.0, 0.0
		for i := range uint64(n) {
			serviceTime := tt.distribution.ServiceTime(tt.variation, Float64(7, i, 0), Float64(7, i, 1))
			sum, sumOfSquares = sum+serviceTime, sumOfSquares+serviceTime*serviceTime
		}
		mean := sum / n
		sd := math.Sqrt(max(sumOfSquares/n-mean*mean, 0))
		if math.Abs(mean-1) > 0.015 || math.Abs(sd-tt.sd) > 0.06*max(tt.sd, 0.01) {
			t.Errorf("%s with coefficient of variation %v: mean %.4f, standard deviation %.4f, want 1 and %v",
				tt.distribution, tt.variation, mean, sd, tt.sd)
		}
	}
}

// TestWeightedIndex checks that indexes are drawn in proportion to their weights, and that an index of
// weight 0 is never drawn.
func TestWeightedIndex(t *testing.T) {
	stream := NewStream(3, 1)
	var drawn [4]int // number of draws by index
	for range 100_000 {
		drawn[stream.WeightedIndex([]float64{1, 0, 3, 0})]++
	}
	if drawn[1]+drawn[3] != 0 || math.Abs(float64(drawn[2])/float64(drawn[0])-3) > 0.1 {
		t.Errorf("WeightedIndex(1, 0, 3, 0): draws by index = %v, want a ratio of 1 to 3 and none for weight 0", drawn)
	}
	if got := stream.WeightedIndex([]float64{0, 0}); got != -1 {
		t.Errorf("WeightedIndex(0, 0) = %d, want -1", got)
	}
}
