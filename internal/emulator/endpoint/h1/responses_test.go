package h1

import (
	"testing"

	"troutusher/internal/emulator/endpoint"
)

// Guards the bytes of responses, by which relays recognize a rejection, its Retry-After and the limit of
// calls in flight.
func TestResponseText(t *testing.T) {
	for _, test := range []struct {
		response endpoint.Effect
		want     string
	}{
		{endpoint.Effect{Status: 200}, okResponse},
		{endpoint.Effect{Status: 200, Defect: endpoint.DuplicateResponse}, okResponse + okResponse},
		{
			endpoint.Effect{Status: 200, Close: true},
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		},
		{
			endpoint.Effect{Status: 429, RetryAfter: 250_000},
			"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nRetry-After: 0.250\r\n\r\n",
		},
		{
			endpoint.Effect{Status: 503, SlotsTaken: true, Close: true},
			"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nSlots-Taken: 1\r\nConnection: close\r\n\r\n",
		},
	} {
		if got := responseText(&test.response); got != test.want {
			t.Errorf("responseText(%+v) = %q, want %q", test.response, got, test.want)
		}
	}
}
