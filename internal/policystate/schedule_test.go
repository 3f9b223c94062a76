package policystate

import "testing"

// Guards against a file that is written too late, too often or without need: soon after an
// urgent change, at the interval after other changes, within the limit of bytes per
// second, and never without a change.
func TestWriteSchedule(t *testing.T) {
	s := NewWriteSchedule(2e6)
	if due, nextCheckAt := s.Due(1e6, 0, 0); due || nextCheckAt != 0 {
		t.Errorf("Due without a change = %v, %d, want false, 0", due, nextCheckAt)
	}
	if due, nextCheckAt := s.Due(1.1e6, 0, 1); due || nextCheckAt != 3e6 {
		t.Errorf("Due after a change = %v, %d, want false, 3000000", due, nextCheckAt)
	}
	if due, nextCheckAt := s.Due(1.2e6, 1, 1); due || nextCheckAt != 1.25e6 {
		t.Errorf("Due after an urgent change = %v, %d, want false, 1250000", due, nextCheckAt)
	}
	if due, _ := s.Due(1.25e6, 1, 1); !due {
		t.Error("Due(1250000) after an urgent change = false, want true")
	}
	s.RecordWrite(1.25e6, 1000, 1, 1)
	if due, nextCheckAt := s.Due(1.3e6, 1, 1); due || nextCheckAt != 0 {
		t.Errorf("Due without a change since the write = %v, %d, want false, 0", due, nextCheckAt)
	}
	bytes, now, version := 0, int64(2e6), uint64(1)
	for ; now < 62e6; now += 10e3 { // one minute of continuous urgent changes
		version++
		if due, _ := s.Due(now, version, version); due {
			s.RecordWrite(now, 20<<10, version, version)
			bytes += 20 << 10
		}
	}
	if limit := int(maxBytesPerSecond*60 + maxBurstBytes + 20<<10); bytes > limit || bytes < limit/2 {
		t.Errorf("%d bytes written in one minute, want %d to %d", bytes, limit/2, limit)
	}
}
