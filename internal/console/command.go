package console

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// maxLineBytes is the maximum size of a command line, including the line end.
const maxLineBytes = 256

// errLineTooLong is the error for a line that is longer than maxLineBytes.
var errLineTooLong = errors.New("console command line too long")

const lineTooLongReply = "NO call too long\n"

// Handlers holds a function for each command. They must not block.
type Handlers struct {
	Ready   func() (ok bool, reason string)
	Drain   func() (ok bool, reason string)
	Undrain func() (ok bool, reason string)
	Stats   func(buffer []byte) []byte // appends the metrics, a line each
}

// Execute runs the command in a line and returns the complete reply.
func (h *Handlers) Execute(line []byte) []byte {
	command := strings.ToUpper(string(bytes.TrimSpace(line)))
	var handler func() (bool, string)
	switch command {
	case "READY":
		handler = h.Ready
	case "DRAIN":
		handler = h.Drain
	case "UNDRAIN":
		handler = h.Undrain
	case "STATS":
		return append(h.Stats(nil), "END\n"...)
	default:
		return fmt.Appendf(nil, "NO unknown call %.32q, known are READY, STATS, DRAIN, UNDRAIN\n", command)
	}
	ok, reason := handler()
	if ok {
		return []byte("YES " + reason + "\n")
	}
	return []byte("NO " + reason + "\n")
}

// firstLine returns the first line of input without its line end. complete is false while the line end
// is missing. The error is errLineTooLong if there is no line end within maxLineBytes.
func firstLine(input []byte) (line []byte, complete bool, err error) {
	if i := bytes.IndexByte(input[:min(len(input), maxLineBytes)], '\n'); i >= 0 {
		return bytes.TrimSuffix(input[:i], []byte{'\r'}), true, nil
	}
	if len(input) >= maxLineBytes {
		return nil, false, errLineTooLong
	}
	return nil, false, nil
}
