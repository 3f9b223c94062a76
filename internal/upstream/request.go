package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	callPath   = "/v1/messages"
	healthPath = "/health/live"

	requestHeadSize = 512 // bytes; most heads are smaller
)

// Request is the content of a [Call] and its timeout.
type Request struct {
	ID             string
	IdempotencyKey string // empty for none
	Repeatable     bool   // the message may be sent again although it may have run
	Body           []byte
	Timeout        time.Duration // from the start of the call to its response
	LoadFields     []string      // names of load report fields; empty to ignore load reports
}

// newCallRequest returns the HTTP request of a call. GetBody stays nil so that no code
// can rewind the body and send the request again.
func newCallRequest(address string, request *Request) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+callPath, nil)
	if err != nil {
		return nil, err
	}
	if req.ContentLength = int64(len(request.Body)); len(request.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	req.Header.Set("X-Request-ID", request.ID)
	if request.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(request.Timeout.Milliseconds(), 1), 10))
	req.Header["User-Agent"] = nil
	return req, nil
}

// newHealthRequest returns the HTTP request of a health check.
func newHealthRequest(address string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+address+healthPath, nil)
}

// encodeRequest returns the bytes of a request as they are written to a connection.
func encodeRequest(req *http.Request) ([]byte, error) {
	var text bytes.Buffer
	text.Grow(int(req.ContentLength) + requestHeadSize)
	if err := req.Write(&text); err != nil {
		return nil, err
	}
	return text.Bytes(), nil
}
