package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"troutusher/policy"
)

const (
	maxResponseBytes    = 192 << 10              // read of a response, with what comes ahead of it
	maxResponseBody     = 64 << 10               // by its Content-Length
	maxInterimResponses = 8                      // 1xx ahead of the final response
	responseReadTimeout = 300 * time.Millisecond // from a response's first byte to its last: it is written at once
	maxRetryAfter       = 10 * time.Minute
	maxLoad             = 1e6 // no figure of a load report is higher
)

var errTooManyInterim = errors.New("too many answers ahead of the last")

// readResponse reads a response and reports its result: a status line with 200 is
// true whatever follows it; anything else is believed only once all of it has been
// read and makes sense, since a malformed response is that of a call that may have
// run. It reports whether the connection can carry another call.
func readResponse(c *poolConn, req *http.Request, loadFields []string, report func(Result)) (keep bool) {
	status, timer, failure := c.awaitFinalStatus()
	if timer != nil {
		defer timer.Stop()
	}
	if failure != nil {
		report(*failure)
		return false
	}
	if status == http.StatusOK {
		report(Result{Outcome: policy.Delivered, Final: true, Status: status})
	}
	var retryAfter policy.Time
	resp, err := http.ReadResponse(c.reader, req)
	if err == nil {
		retryAfter = c.endpoint.applyRetryAfter(status, resp.Header)
		err = drainBody(resp)
	}
	if status == http.StatusOK {
		return err == nil && !resp.Close
	}
	result := Result{Status: status, Err: err}
	if err == nil {
		result.Load = parseLoad(resp.Header.Get("X-Server-Load"), loadFields)
		result.Err = result.readHead(resp.Header)
	}
	if result.Err != nil { // it may have run, whatever its status says
		result.Outcome, result.Malformed, result.RetryAfter = policy.Failed, true, retryAfter
		result.SlotsExhausted, result.Final = false, false
	}
	report(result)
	return result.Err == nil && !resp.Close
}

// awaitFinalStatus waits for the status line of the final response, past interim
// ones. It returns the status, or a failure in its place; the timer, if there is one,
// bounds the reading of the rest, and is the caller's to stop.
func (c *poolConn) awaitFinalStatus() (int, *time.Timer, *Result) {
	for interim := 0; ; interim++ {
		status, timer, err := c.awaitStatus()
		if err == nil && status < http.StatusOK && interim >= maxInterimResponses {
			err = errTooManyInterim
		}
		if err != nil {
			return 0, timer, failedRead(timer != nil, err)
		}
		if status >= http.StatusOK {
			return status, timer, nil
		}
		// The final response may come much later than what is ahead of it.
		if err := skipHead(c.reader); err != nil || !timer.Stop() {
			return 0, timer, &Result{Outcome: policy.Failed, Malformed: true, Err: err}
		}
	}
}

// awaitStatus waits for a status line. The timer, if there is one, was started with
// its first byte.
func (c *poolConn) awaitStatus() (int, *time.Timer, error) {
	var timer *time.Timer
	if _, err := c.reader.Peek(1); err == nil { // else the next read has an error as well
		timer = c.startReadTimeout(responseReadTimeout)
	}
	line, err := peekStatusLine(c.reader)
	if err != nil {
		return 0, timer, err
	}
	status, err := parseStatus(line)
	return status, timer, err
}

// failedRead is the result of a call whose response has no status line that can be
// believed; begun is whether any of it had come.
func failedRead(begun bool, err error) *Result {
	if begun && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		return &Result{Outcome: policy.Failed, Malformed: true, Err: err}
	}
	return &Result{Outcome: policy.ConnectionReset, Err: err}
}

// drainBody reads a response's body to its end.
func drainBody(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }() // the connection is kept or closed by what was read
	if resp.ContentLength > maxResponseBody {
		return errResponseTooLarge
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// applyRetryAfter holds calls back for the time that a response asks for; it binds
// from here on, whatever becomes of the rest of the response. It returns that time.
func (e *Endpoint) applyRetryAfter(status int, head http.Header) policy.Time {
	if status != http.StatusTooManyRequests {
		return 0
	}
	retryAfter, err := parseRetryAfter(head.Get("Retry-After"))
	if err != nil || retryAfter <= 0 {
		return 0
	}
	now := e.pool.now()
	e.gate.HoldUntil(now, now+retryAfter)
	return retryAfter
}

// readHead maps the head of a response other than 200 to an outcome. An error means
// that the head cannot be believed.
func (r *Result) readHead(head http.Header) error {
	switch r.Status {
	case http.StatusTooManyRequests:
		retryAfter, err := parseRetryAfter(head.Get("Retry-After"))
		if err != nil {
			return err
		}
		r.Outcome, r.RetryAfter = policy.Rejected, retryAfter
	case http.StatusServiceUnavailable:
		if r.Outcome = policy.Rejected; head.Get("Slots-Taken") == "1" {
			r.Outcome, r.SlotsExhausted = policy.NotSent, true
		}
	case http.StatusGatewayTimeout: // has had all its attempts
		r.Outcome = policy.NotSent
	case http.StatusGone:
		r.Outcome, r.Final = policy.NotSent, true
	default: // 500, and any status without a meaning of its own: it may have run
		r.Outcome = policy.Failed
	}
	return nil
}

// parseRetryAfter parses seconds with decimals. An empty header is no wait.
func parseRetryAfter(header string) (policy.Time, error) {
	if header = strings.TrimSpace(header); header == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRetryAfter.Seconds()) {
		return 0, fmt.Errorf("Retry-After: %.40q", header)
	}
	return policy.Time(seconds * 1e6), nil
}

// parseLoad parses a load report such as x0=0.4,x1=25.
func parseLoad(header string, fields []string) (load policy.LoadReport) {
	if len(fields) == 0 {
		return load
	}
	for part := range strings.SplitSeq(header, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= maxLoad) {
			continue
		}
		switch name {
		case "x0":
			load.Remaining = value
		case "x1":
			load.Limit = value
		}
	}
	return load
}

// peekStatusLine waits for a response's status line and leaves it unread.
func peekStatusLine(reader *bufio.Reader) (string, error) {
	for n := 1; ; n = reader.Buffered() + 1 {
		if _, err := reader.Peek(n); err != nil {
			return "", err
		}
		buffered, _ := reader.Peek(reader.Buffered()) // which has no error
		for i, b := range buffered {
			if b == '\n' {
				return string(buffered[:i]), nil
			}
		}
	}
}

// parseStatus reads the status code in a status line.
func parseStatus(line string) (int, error) {
	if len(line) < 12 || line[:7] != "HTTP/1." || line[7] < '0' || line[7] > '1' || line[8] != ' ' ||
		len(line) > 12 && line[12] != ' ' && line[12] != '\r' {
		return 0, fmt.Errorf("first line %.40q", line)
	}
	code := 0
	for _, digit := range []byte(line[9:12]) {
		if digit < '0' || digit > '9' {
			return 0, fmt.Errorf("first line %.40q", line)
		}
		code = code*10 + int(digit-'0')
	}
	if code < http.StatusContinue {
		return 0, fmt.Errorf("first line %.40q", line)
	}
	return code, nil
}

// skipHead reads past the head of an interim response.
func skipHead(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 && (len(line) == 1 || line[0] == '\r') {
			return nil
		}
	}
}
