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
	maxLineBytes   = 1 << 20 // longer lines are skipped
	readBufferSize = 64 << 10
	maxFilesNamed  = 10 // maximum number of files without a readable line that a report names
)

// logLine is a parsed line of a relay's log, which is in the format logfmt: key=value pairs.
type logLine struct {
	time   time.Time
	text   string // value of the field msg
	fields map[string]string
	keys   []string // keys of fields, in the order of the line
}

// parseLine parses a line of a relay's log. It skips anything before the field time, since some log
// collectors prepend text to each line. ok is false for a line that is not a relay's log line.
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

// milliseconds returns the value of a field that holds a number of milliseconds. It returns false if
// the field is missing, not a number, or out of range.
func (l *logLine) milliseconds(key string) (time.Duration, bool) {
	n, err := strconv.ParseInt(l.fields[key], 10, 64)
	if err != nil || n > maxCount || n < -maxCount {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// inputSummary describes the log files that were read, and the parts of them that were skipped.
type inputSummary struct {
	relays         []string // relays with at least one readable line
	emptyFiles     []string // files without a readable line
	foreignLines   int      // lines that are not a relay's log lines
	truncatedLines int      // last lines of files that are incomplete
}

// forEachLine calls add for each readable line of the files *.log in dir. A file holds the log of the
// relay that it is named after. The calls go file by file, in the order of the lines. name is the
// folder's name in errors.
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

// readFile calls add for each readable line of a file and returns their number. A file that cannot be
// opened counts as one without lines. A read error counts as the end of the file.
func (s *inputSummary) readFile(dir fs.FS, file string, add func(line *logLine)) (lines int) {
	f, err := dir.Open(file)
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }() // the file was only read, so that an error has no consequence
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

// readLine reads one line. complete is false if the line is longer than maxLineBytes or is not ended by
// a newline.
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

// lines returns the summary as the first lines of a report.
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

// emptyFilesLine returns the report line about the files without a readable line, which names the first
// maxFilesNamed of them.
func emptyFilesLine(files []string) string {
	return fmt.Sprintf("%d without a readable line: %v", len(files), files[:min(len(files), maxFilesNamed)])
}
