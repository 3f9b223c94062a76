package msgtrace

import "testing"

// So many a second are sampled, in whatever second; a clock that goes back begins no
// second again.
func TestSampler(t *testing.T) {
	sampler := NewSampler(3)
	sample := func(now int64, n int) (sampled int) {
		for range n {
			if sampler.Sample(now) {
				sampled++
			}
		}
		return sampled
	}
	for i, test := range []struct {
		now  int64
		n    int
		want int
	}{{5e6, 2, 2}, {5e6 + 999_999, 5, 1}, {6e6, 5, 3}, {5e6, 5, 0}, {6e6, 1, 0}, {9e6, 1, 1}} {
		if got := sample(test.now, test.n); got != test.want {
			t.Errorf("%d: %d of %d sampled at %d, want %d", i, got, test.n, test.now, test.want)
		}
	}
	if NewSampler(0).Sample(1e6) {
		t.Error("sampled with a limit of 0")
	}
}
