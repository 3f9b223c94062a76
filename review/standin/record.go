package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case: one line for each thing that was sent, answered or run, with the
// time in milliseconds since the start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// at returns a time in milliseconds since the start.
func (r *recorder) at(t time.Time) float64 { return float64(t.Sub(r.start).Microseconds()) / 1000 }

func (r *recorder) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *recorder) noteAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%10.1f ms  %s\n", r.at(t), fmt.Sprintf(format, args...))
}
