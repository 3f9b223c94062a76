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
	maxResponseBytes    = 192 << 10              // total, including interim responses
	maxResponseBody     = 64 << 10               // by Content-Length
	maxInterimResponses = 8                      // 1xx responses before the final response
	responseReadTimeout = 300 * time.Millisecond // first to last byte; endpoints write a response in one go
	maxRetryAfter       = 10 * time.Minute
	maxLoad             = 1e6 // largest valid value in a load report
)

var errTooManyInterim = errors.New("too many interim (1xx) responses before the final one")

// readAnswer reads the response to a call and reports its result. A status line with code 200
// proves the delivery, whatever follows it, unless it may be a copy of an earlier response; see
// copy.go. Any other response counts only once it has been read completely and is
// well-formed: after a malformed response the call may have run.
//
// readAnswer returns whether the response was read to its end, so that the connection could carry
// another call; release decides whether it does.
func readAnswer(c *poolConn, req *http.Request, loadFields []string, report func(Result)) (keep bool) {
	status, timer, failure := c.awaitFinalStatus()
	if timer != nil {
		defer timer.Stop()
	}
	if failure != nil {
		report(*failure)
		return false
	}
	verdict := c.judge(status)
	if !verdict.ConfirmBy.IsZero() && (status == http.StatusOK || !c.repeatable) {
		return c.readConfirmed(verdict, timer, status, req, loadFields, report)
	}
	c.unconfirmedUntil = verdict.ConfirmBy
	if status == http.StatusOK {
		c.endpoint.times.add(time.Since(c.sentAt), c.status == 0)
	}
	return c.readFinal(status, req, loadFields, report)
}

// readNext reads the next response on the connection, whichever call it answers, and reports its
// result. The status is 0 without a response. keep is as for readAnswer.
func (c *poolConn) readNext(
	req *http.Request,
	loadFields []string,
	report func(Result),
) (status int, keep bool) {
	status, timer, failure := c.awaitFinalStatus()
	if timer != nil {
		defer timer.Stop()
	}
	if failure != nil {
		report(*failure)
		return 0, false
	}
	return status, c.readFinal(status, req, loadFields, report)
}

// readFinal reads the rest of a response whose status line has been peeked at, and reports its
// result. keep is as for readAnswer.
func (c *poolConn) readFinal(status int, req *http.Request, loadFields []string, report func(Result)) (keep bool) {
	c.responseArrived(status)
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
	if result.Err != nil { // the call may have run, whatever the status code says
		result.Outcome, result.Malformed, result.RetryAfter = policy.Failed, true, retryAfter
		result.SlotsExhausted, result.Final = false, false
	}
	report(result)
	return result.Err == nil && !resp.Close
}

// awaitFinalStatus skips interim responses and waits for the status line of the final
// response. It returns either the status code or a result that describes the failure.
// The timer, if not nil, limits the time for reading the rest of the response; the
// caller must stop it.
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
		// The read timeout restarts for the next response: a final response may come
		// long after an interim one.
		if err := skipHead(c.reader); err != nil || !timer.Stop() {
			return 0, timer, &Result{Outcome: policy.Failed, Malformed: true, Err: err}
		}
	}
}

// awaitStatus waits for a status line and returns its code. The timer is the read
// timeout, started at the first byte; it is nil if no byte arrived.
func (c *poolConn) awaitStatus() (int, *time.Timer, error) {
	var timer *time.Timer
	if _, err := c.reader.Peek(1); err == nil { // peekStatusLine returns the error
		timer = c.startReadTimeout(responseReadTimeout)
	}
	line, err := peekStatusLine(c.reader)
	if err != nil {
		return 0, timer, err
	}
	status, err := parseStatus(line)
	return status, timer, err
}

// failedRead returns the result of a call whose response has no valid status line;
// started is whether any byte of the response arrived.
func failedRead(started bool, err error) *Result {
	if started && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		return &Result{Outcome: policy.Failed, Malformed: true, Err: err}
	}
	return &Result{Outcome: policy.ConnectionReset, Err: err}
}

// drainBody reads a response's body to its end.
func drainBody(resp *http.Response) error {
	// An error of Close is ignored: the error of reading decides whether the connection is kept.
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength > maxResponseBody {
		return errResponseTooLarge
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// applyRetryAfter closes the send gate for the Retry-After time of a response and returns
// that time. The time applies as soon as the head is read, even if the rest of the response
// turns out to be malformed.
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

// readHead sets the outcome from the status code and head of a response other than 200.
// An error means that the head is invalid.
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
	case http.StatusGatewayTimeout: // the call never ran: the message has no attempts left
		r.Outcome = policy.NotSent
	case http.StatusGone: // the message had already ended
		r.Outcome, r.Final = policy.NotSent, true
	default: // 500 and all codes without a defined meaning: the call may have run
		r.Outcome = policy.Failed
	}
	return nil
}

// parseRetryAfter parses a number of seconds, which may have decimals. An empty header
// means no wait.
func parseRetryAfter(header string) (policy.Time, error) {
	if header = strings.TrimSpace(header); header == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRetryAfter.Seconds()) {
		return 0, fmt.Errorf("invalid Retry-After header %.40q", header)
	}
	return policy.Time(seconds * 1e6), nil
}

// parseLoad parses a load report such as "x0=0.4,x1=25": x0 is the unused share of the rate
// limit, and x1 the rate limit in calls per second. Invalid values are skipped.
// If fields is empty, which means that the endpoint's load reports are not used, the whole
// header is ignored.
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

// peekStatusLine waits for a response's status line and returns it without consuming
// it.
func peekStatusLine(reader *bufio.Reader) (string, error) {
	for n := 1; ; n = reader.Buffered() + 1 {
		if _, err := reader.Peek(n); err != nil {
			return "", err
		}
		buffered, _ := reader.Peek(reader.Buffered()) // peeking at buffered bytes cannot fail
		for i, b := range buffered {
			if b == '\n' {
				return string(buffered[:i]), nil
			}
		}
	}
}

// parseStatus returns the status code of an HTTP/1.0 or HTTP/1.1 status line.
func parseStatus(line string) (int, error) {
	if len(line) < 12 || line[:7] != "HTTP/1." || line[7] < '0' || line[7] > '1' || line[8] != ' ' ||
		len(line) > 12 && line[12] != ' ' && line[12] != '\r' {
		return 0, fmt.Errorf("malformed status line %.40q", line)
	}
	code := 0
	for _, digit := range []byte(line[9:12]) {
		if digit < '0' || digit > '9' {
			return 0, fmt.Errorf("malformed status line %.40q", line)
		}
		code = code*10 + int(digit-'0')
	}
	if code < http.StatusContinue {
		return 0, fmt.Errorf("malformed status line %.40q", line)
	}
	return code, nil
}

// skipHead reads and drops the head of an interim response.
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
