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

const (
	okResponse          = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	garbageResponse     = "\x16\x03\x01\x00\x9e\x01\x00\x00 this is no answer \xff\xfe\x00\r\n\r\n"
	wrongLengthResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4000\r\n\r\nshort"
	badRequestResponse  = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	notFoundResponse    = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
)

// Limits at which the server gives up writing an endless header: its size, and the time taken.
const (
	endlessHeaderBytes   = 128 << 10
	endlessHeaderTimeout = 5 * time.Second
)

// responseText returns the response for an effect. It does not cover an endless header, which
// writeEndlessHeader writes.
func responseText(response *endpoint.Effect) string {
	switch {
	case response.Status == http.StatusOK && response.Defect == endpoint.DuplicateResponse:
		return okResponse + okResponse
	case response.Status == http.StatusOK && !response.Close:
		return okResponse
	case response.Defect == endpoint.GarbageBytes:
		return garbageResponse
	case response.Defect == endpoint.WrongLength:
		return wrongLengthResponse
	}
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", response.Status, http.StatusText(response.Status))
	if response.Status == http.StatusTooManyRequests {
		fmt.Fprintf(&text, "Retry-After: %.3f\r\n", float64(response.RetryAfter)/1e6)
	}
	if response.SlotsTaken {
		text.WriteString("Slots-Taken: 1\r\n")
	}
	if response.Close {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	return text.String()
}

// writeEndlessHeader writes header fields until the peer closes the connection or a limit is reached.
func writeEndlessHeader(conn net.Conn) {
	field := "X-More: " + strings.Repeat("m", 1000) + "\r\n"
	_ = conn.SetWriteDeadline(time.Now().Add(endlessHeaderTimeout)) // fails with the writes below
	_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\n")
	for written := 0; written < endlessHeaderBytes; written += len(field) {
		if _, err := io.WriteString(conn, field); err != nil {
			return
		}
	}
}
