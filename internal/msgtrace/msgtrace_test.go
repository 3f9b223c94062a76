package msgtrace

import "testing"

// TestSampler checks the limit per second. A clock that goes back to an earlier second must not
// allow more messages than the limit.
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
			t.Errorf("step %d: %d of %d messages sampled at %d µs, want %d", i, got, test.n, test.now, test.want)
		}
	}
	if NewSampler(0).Sample(1e6) {
		t.Error("NewSampler(0).Sample(1e6) = true, want false")
	}
}
