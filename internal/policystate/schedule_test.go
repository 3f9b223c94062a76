package policystate

import "testing"

// The file is due soon after what should not be forgotten, now and then while
// anything is learned, never more than its bytes allow, and not where nothing is.
func TestWriteSchedule(t *testing.T) {
	s := NewWriteSchedule(2e6)
	if due, again := s.Due(1e6, 0, 0); due || again != 0 {
		t.Errorf("with nothing learned: %v %d", due, again)
	}
	if due, again := s.Due(1.1e6, 0, 1); due || again != 3e6 {
		t.Errorf("something learned: %v, again at %d", due, again)
	}
	if due, again := s.Due(1.2e6, 1, 1); due || again != 1.25e6 {
		t.Errorf("something to remember: %v, again at %d", due, again)
	}
	if due, _ := s.Due(1.25e6, 1, 1); !due {
		t.Error("not due")
	}
	s.RecordWrite(1.25e6, 1000, 1, 1)
	if due, again := s.Due(1.3e6, 1, 1); due || again != 0 {
		t.Errorf("nothing since: %v %d", due, again)
	}
	bytes, now, version := 0, int64(2e6), uint64(1)
	for ; now < 62e6; now += 10e3 { // a minute in which something happens all the time
		version++
		if due, _ := s.Due(now, version, version); due {
			s.RecordWrite(now, 20<<10, version, version)
			bytes += 20 << 10
		}
	}
	if most := int(maxBytesPerSecond*60 + maxBurstBytes + 20<<10); bytes > most || bytes < most/2 {
		t.Errorf("%d bytes in a minute, want %d at most", bytes, most)
	}
}
