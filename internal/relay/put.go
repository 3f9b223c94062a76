package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/core"
	"troutusher/policy"
)

const (
	// maxDeadlineFactor bounds a message's time, as a multiple of its class's.
	maxDeadlineFactor = 2
	// maxTokenLength bounds an id and an idempotency key, in bytes.
	maxTokenLength = 256
	// maxTimeLength bounds the text of a time, in bytes.
	maxTimeLength = 24
	// putArguments is how many arguments MSG.PUT has, with its name.
	putArguments = 5
	// noTenant is the tenant of messages where the configuration names none.
	noTenant = -1
)

// record is an entry of the write-ahead log.
type record = core.Record

// parsePut reads a MSG.PUT: its name, a trace, an id, fields, a body. now is when it
// was received. The error names what is wrong.
func parsePut(c *config.Config, args [][]byte, now time.Time) (*request, error) {
	if len(args) != putArguments {
		return nil, fmt.Errorf("MSG.PUT takes %d arguments, %d came", putArguments-1, len(args)-1)
	}
	id := string(args[2])
	if !isToken(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	fields, err := parseFields(string(args[3]))
	if err != nil {
		return nil, err
	}
	q := &request{Request: core.Request{
		Record: &record{Kind: core.RecordAccepted, ID: id, Body: bytes.Clone(args[4])},
	}}
	q.Handle = q
	if err := q.readClass(c, fields); err != nil {
		return nil, err
	}
	if err := q.readTenant(c, fields); err != nil {
		return nil, err
	}
	if err := q.readDeadline(c, fields, now); err != nil {
		return nil, err
	}
	if err := q.readDestination(fields); err != nil {
		return nil, err
	}
	if err := q.readIdempotencyKey(c, fields); err != nil {
		return nil, err
	}
	return q, nil
}

// parseFields reads name=value pairs between commas. Names that nobody knows are
// kept, and ignored later.
func parseFields(text string) (map[string]string, error) {
	fields := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return nil, fmt.Errorf("field %q without a value", field)
		}
		fields[name] = value
	}
	return fields, nil
}

func (q *request) readClass(c *config.Config, fields map[string]string) error {
	name := fields["c"]
	class, ok := c.Classes[name]
	if !ok {
		return fmt.Errorf("c: unknown class %q", name)
	}
	q.Class, q.Record.Class = class, name
	return nil
}

func (q *request) readTenant(c *config.Config, fields map[string]string) error {
	name := fields["t"]
	tenant, ok := c.Tenants[name]
	switch {
	case ok:
	case len(c.Tenants) > 0:
		return fmt.Errorf("t: unknown tenant %q", name)
	default:
		tenant = noTenant
	}
	q.Tenant, q.Record.Tenant = tenant, name
	return nil
}

// readDeadline reads how much time the message has left; the class is known.
func (q *request) readDeadline(c *config.Config, fields map[string]string, now time.Time) error {
	ms, err := parseMilliseconds(fields["d"])
	if err != nil {
		return fmt.Errorf("d: %w", err)
	}
	classMS := float64(c.Policy.Classes[q.Class].Deadline) / 1000
	if ms > maxDeadlineFactor*classMS {
		return fmt.Errorf("d: %v ms, and messages of class %s have %v at most", ms, q.Record.Class, classMS)
	}
	q.timeLeft = time.Duration(ms * float64(time.Millisecond))
	q.Record.Deadline = now.Add(q.timeLeft).UnixMicro()
	return nil
}

func (q *request) readDestination(fields map[string]string) error {
	dest, err := strconv.ParseUint(fields["dest"], 10, 16)
	if err != nil {
		return fmt.Errorf("dest: %.32q is no destination", fields["dest"])
	}
	q.Record.Dest = int(dest)
	return nil
}

func (q *request) readIdempotencyKey(c *config.Config, fields map[string]string) error {
	key := fields["k"]
	q.Record.Key = key
	switch {
	case key != "" && !isToken(key):
		return errors.New("k: too long or not plain")
	case key == "" && c.Policy.Classes[q.Class].Idempotency == policy.IdempotentByKey:
		return errors.New("k: missing in a keyed class")
	}
	return nil
}

// parseMilliseconds reads a time: digits, maybe with decimals. What a number may
// look like elsewhere (a sign, an exponent, hexadecimal) is no time.
func parseMilliseconds(s string) (float64, error) {
	whole, _, _ := strings.Cut(s, ".")
	if whole == "" || len(s) > maxTimeLength || strings.Trim(s, "0123456789.") != "" {
		return 0, fmt.Errorf("%.32q is no time in milliseconds", s)
	}
	return strconv.ParseFloat(s, 64)
}

// isToken reports whether s can stand in a header of HTTP as it is.
func isToken(s string) bool {
	if s == "" || len(s) > maxTokenLength {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
