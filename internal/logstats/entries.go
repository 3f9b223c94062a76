package logstats

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// entry is one line of a relay's log that could be read.
type entry struct {
	when   time.Time
	text   string // msg
	fields map[string]string
	order  []string
}

// parse reads a line of a relay's log. What stands before its time, as some
// collectors put it there, is left out.
func parse(text []byte) (e entry, ok bool) {
	at := bytes.Index(text, []byte("time="))
	if at < 0 {
		return e, false
	}
	dec := logfmt.NewDecoder(bytes.NewReader(text[at:]))
	if !dec.ScanRecord() {
		return e, false
	}
	e.fields = map[string]string{}
	for dec.ScanKeyval() {
		k := string(dec.Key())
		if _, have := e.fields[k]; !have {
			e.order = append(e.order, k)
		}
		e.fields[k] = string(dec.Value())
	}
	var err error
	e.when, err = time.Parse(time.RFC3339, e.fields["time"])
	if dec.Err() != nil || err != nil || e.fields["msg"] == "" || e.fields["level"] == "" {
		return e, false
	}
	e.text = e.fields["msg"]
	return e, true
}

func (e *entry) ms(key string) (time.Duration, bool) {
	n, err := strconv.ParseInt(e.fields[key], 10, 64)
	if err != nil || n > countMost || n < -countMost {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// Read in passing: files that could not be read, and lines that were left out.
type left struct {
	relays, empty []string
	foreign, torn int
}

// each shows the lines of all relays, relay by relay, in the order in which they
// stand there.
func each(dir fs.FS, name string, show func(relay string, e *entry)) (*left, error) {
	files, err := fs.Glob(dir, "*.log")
	if err != nil {
		return nil, err
	}
	l := &left{}
	for _, file := range files {
		relay, lines := strings.TrimSuffix(path.Base(file), ".log"), 0
		if f, err := dir.Open(file); err == nil {
			in := bufio.NewReaderSize(f, 64<<10)
			for err == nil {
				var text []byte
				var whole bool
				text, whole, err = line(in)
				e, ok := parse(text)
				switch {
				case len(text) == 0:
				case ok && (whole || errors.Is(err, io.EOF)):
					lines++
					show(relay, &e)
				case !whole && errors.Is(err, io.EOF):
					l.torn++
				default:
					l.foreign++
				}
			}
			_ = f.Close() // it was only read
		}
		if lines == 0 {
			l.empty = append(l.empty, file)
			continue
		}
		l.relays = append(l.relays, relay)
	}
	if len(l.relays) == 0 {
		return nil, fmt.Errorf("%s: %w", name, errNothing)
	}
	return l, nil
}

func (l *left) notes() (lines []string) {
	lines = append(lines, fmt.Sprintf("%d relays", len(l.relays)))
	if len(l.empty) > 0 {
		lines = append(lines,
			fmt.Sprintf("%d without a readable line: %v", len(l.empty), l.empty[:min(len(l.empty), 10)]))
	}
	if l.foreign+l.torn > 0 {
		lines = append(lines, fmt.Sprintf("left out: %d foreign lines, %d torn ones", l.foreign, l.torn))
	}
	return lines
}
