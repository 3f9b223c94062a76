package h1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"troutusher/internal/emulator/endpoint"
)

const badRequestResponse = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

func responseText(e *endpoint.Effect) string {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	var b strings.Builder
	switch {
	case e.Status == 200 && e.Defect == endpoint.DuplicateResponse:
		return ok + ok
	case e.Status == 200 && !e.Close:
		return ok
	case e.Defect == endpoint.GarbageBytes:
		return "\x16\x03\x01\x00\x9e\x01\x00\x00 this is no answer \xff\xfe\x00\r\n\r\n"
	case e.Defect == endpoint.WrongLength:
		return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4000\r\n\r\nshort"
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", e.Status, http.StatusText(e.Status))
	if e.Status == http.StatusTooManyRequests {
		fmt.Fprintf(&b, "Retry-After: %.3f\r\n", float64(e.RetryAfter)/1e6)
	}
	if e.SlotsTaken {
		b.WriteString("Slots-Taken: 1\r\n")
	}
	if e.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// writeEndlessHeader writes a head until its reader has had enough of it.
func writeEndlessHeader(c net.Conn) {
	line := "X-More: " + strings.Repeat("m", 1000) + "\r\n"
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // fails with the writes below
	_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n")
	for n := 0; n < endlessHeaderBytes; n += len(line) {
		if _, err := io.WriteString(c, line); err != nil {
			return
		}
	}
}
