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

const (
	maxLineBytes   = 1 << 20 // of one line; a longer one is left out
	readBufferSize = 64 << 10
	maxFilesNamed  = 10 // of those without a readable line
)

// logLine is one line of a relay's log that could be read.
type logLine struct {
	time   time.Time
	text   string // msg
	fields map[string]string
	keys   []string // of fields, in the line's order
}

// parseLine reads a line of a relay's log. What stands before its time, as some
// log collectors put it there, is left out.
func parseLine(text []byte) (line logLine, ok bool) {
	start := bytes.Index(text, []byte("time="))
	if start < 0 {
		return line, false
	}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return line, false
	}
	line.fields = map[string]string{}
	for decoder.ScanKeyval() {
		key := string(decoder.Key())
		if _, found := line.fields[key]; !found {
			line.keys = append(line.keys, key)
		}
		line.fields[key] = string(decoder.Value())
	}
	var err error
	line.time, err = time.Parse(time.RFC3339, line.fields["time"])
	if decoder.Err() != nil || err != nil || line.fields["msg"] == "" || line.fields["level"] == "" {
		return line, false
	}
	line.text = line.fields["msg"]
	return line, true
}

// milliseconds returns a field that is a number of milliseconds.
func (l *logLine) milliseconds(key string) (time.Duration, bool) {
	n, err := strconv.ParseInt(l.fields[key], 10, 64)
	if err != nil || n > maxCount || n < -maxCount {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// inputSummary tells what was read, and what could not be.
type inputSummary struct {
	relays         []string // with lines that could be read
	emptyFiles     []string // without one
	foreignLines   int      // that are not of a relay's log
	truncatedLines int      // last lines without an end
}

// forEachLine calls add with each line of all relays, relay by relay, in the order in
// which they stand in its file.
func forEachLine(dir fs.FS, name string, add func(relay string, line *logLine)) (*inputSummary, error) {
	files, err := fs.Glob(dir, "*.log")
	if err != nil {
		return nil, err
	}
	summary := &inputSummary{}
	for _, file := range files {
		relay := strings.TrimSuffix(path.Base(file), ".log")
		if summary.readFile(dir, file, func(line *logLine) { add(relay, line) }) == 0 {
			summary.emptyFiles = append(summary.emptyFiles, file)
			continue
		}
		summary.relays = append(summary.relays, relay)
	}
	if len(summary.relays) == 0 {
		return nil, fmt.Errorf("%s: %w", name, errNoLogs)
	}
	return summary, nil
}

// readFile calls add with each line of a file, and returns their number. A file that
// cannot be opened has none, and one that cannot be read further ends there.
func (s *inputSummary) readFile(dir fs.FS, file string, add func(line *logLine)) (lines int) {
	f, err := dir.Open(file)
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }() // it was only read
	reader := bufio.NewReaderSize(f, readBufferSize)
	for err == nil {
		var text []byte
		var complete bool
		text, complete, err = readLine(reader)
		atEnd := errors.Is(err, io.EOF)
		line, ok := parseLine(text)
		switch {
		case len(text) == 0:
		case ok && (complete || atEnd):
			lines++
			add(&line)
		case !complete && atEnd:
			s.truncatedLines++
		default:
			s.foreignLines++
		}
	}
	return lines
}

// readLine reads one line; complete is false for one that is too long or has no end.
func readLine(reader *bufio.Reader) (text []byte, complete bool, err error) {
	tooLong := false
	for {
		part, err := reader.ReadSlice('\n')
		if len(text)+len(part) > maxLineBytes {
			tooLong = true
		} else {
			text = append(text, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		complete = !tooLong && err == nil
		return bytes.TrimRight(text, "\r\n"), complete, err
	}
}

// lines returns the summary as lines of a report.
func (s *inputSummary) lines() []string {
	lines := []string{fmt.Sprintf("%d relays", len(s.relays))}
	if len(s.emptyFiles) > 0 {
		lines = append(lines, emptyFilesLine(s.emptyFiles))
	}
	if s.foreignLines+s.truncatedLines > 0 {
		lines = append(lines,
			fmt.Sprintf("left out: %d foreign lines, %d torn ones", s.foreignLines, s.truncatedLines))
	}
	return lines
}

// emptyFilesLine names some of the files without a readable line.
func emptyFilesLine(files []string) string {
	return fmt.Sprintf("%d without a readable line: %v", len(files), files[:min(len(files), maxFilesNamed)])
}
