package runner

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// maxPanicBytes is how much of a log's end is searched for a panic. The stacks of all goroutines follow it.
const maxPanicBytes = 1 << 20

// panicIn returns the first line and the place of the last panic of a Go program, or of a fatal error of its
// runtime, in the text that it wrote; "" if there is none.
func panicIn(text string) string {
	lines := strings.Split(text, "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "panic: ") || strings.HasPrefix(lines[i], "fatal error: ") {
			return strings.TrimSpace(lines[i] + panicPlace(lines[i+1:]))
		}
	}
	return ""
}

// panicPlace returns the function and the file of the first frame in a stack that is not the runtime's; "" if
// there is none. A frame has two lines, of which the second begins with a tab.
func panicPlace(stack []string) string {
	for i := 0; i+1 < len(stack); i++ {
		function, file := stack[i], stack[i+1]
		ofRuntime := strings.HasPrefix(function, "panic(") || strings.HasPrefix(function, "runtime.")
		if ofRuntime || !strings.HasPrefix(file, "\t") || strings.HasPrefix(function, "\t") {
			continue
		}
		if at := strings.LastIndex(function, "("); at > 0 {
			function = function[:at] // without its arguments
		}
		file, _, _ = strings.Cut(strings.TrimSpace(file), " ")
		return fmt.Sprintf(", in %s (%s)", function, filepath.Base(file))
	}
	return ""
}

// withPanic adds the panic in the log of a process, if there is one, to the error with which the process ended.
func withPanic(err error, log string) error {
	if found := panicIn(log); found != "" {
		return fmt.Errorf("%w: %s", err, found)
	}
	return err
}

// readFrom returns a file from an offset on, at most the last maxPanicBytes; "" if it cannot be read.
func readFrom(path string, offset int64) string {
	file, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	size, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return ""
	}
	if _, err := file.Seek(max(size-maxPanicBytes, offset), io.SeekStart); err != nil {
		return ""
	}
	text, err := io.ReadAll(io.LimitReader(file, maxPanicBytes))
	if err != nil {
		return ""
	}
	return string(text)
}
