package msgtrace

import "testing"

// So many a second are told, of whatever second; a clock that goes back opens
// no second again.
func TestSampler(t *testing.T) {
	b := NewSampler(3)
	took := func(now int64, n int) (got int) {
		for range n {
			if b.Sample(now) {
				got++
			}
		}
		return got
	}
	for i, x := range []struct {
		now  int64
		n    int
		want int
	}{{5e6, 2, 2}, {5e6 + 999_999, 5, 1}, {6e6, 5, 3}, {5e6, 5, 0}, {6e6, 1, 0}, {9e6, 1, 1}} {
		if got := took(x.now, x.n); got != x.want {
			t.Errorf("%d: %d of %d told at %d, want %d", i, got, x.n, x.now, x.want)
		}
	}
	if NewSampler(0).Sample(1e6) {
		t.Error("told with no budget")
	}
}
