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
	// maxDeadlineFactor bounds the time that a message may have left, as a multiple of the
	// deadline of its class.
	maxDeadlineFactor = 2
	// maxTokenLength bounds the length of an ID and of an idempotency key, in bytes.
	maxTokenLength = 256
	// maxTimeLength bounds the length of a time's text, in bytes.
	maxTimeLength = 24
	// putArguments is the number of arguments of MSG.PUT, including the command name.
	putArguments = 5
	// noTenant is the tenant of all messages if the configuration has no tenants.
	noTenant = -1
)

// record is an entry of the write-ahead log.
type record = core.Record

// parsePut parses a MSG.PUT command, whose arguments are the command name, a trace, which
// is ignored, the message's ID, the fields and the body. now is when the command was
// received. The error is sent to the client.
func parsePut(cfg *config.Config, args [][]byte, now time.Time) (*request, error) {
	if len(args) != putArguments {
		return nil, fmt.Errorf("MSG.PUT takes %d arguments, %d came", putArguments-1, len(args)-1)
	}
	id := string(args[2])
	if !isToken(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	fields, err := parseFields(args[3])
	if err != nil {
		return nil, err
	}
	req := &request{Request: core.Request{
		Record: &record{Kind: core.RecordAccepted, ID: id, Body: bytes.Clone(args[4])},
	}}
	req.Handle = req
	if err := req.readClass(cfg, &fields); err != nil {
		return nil, err
	}
	if err := req.readTenant(cfg, &fields); err != nil {
		return nil, err
	}
	if err := req.readDeadline(cfg, &fields, now); err != nil {
		return nil, err
	}
	if err := req.readDestination(&fields); err != nil {
		return nil, err
	}
	if err := req.readIdempotencyKey(cfg, &fields); err != nil {
		return nil, err
	}
	return req, nil
}

// fieldValues are the fields of MSG.PUT that the relay uses. A field that a command lacks is empty; of a
// field that it repeats, the last value counts. The values are parts of the command, whose memory the
// server reuses; what the request keeps of them is copied.
type fieldValues struct {
	class, tenant, deadline, destination, key []byte
}

// parseFields parses name=value pairs that are separated by commas. It skips pairs with unknown names.
func parseFields(text []byte) (fields fieldValues, err error) {
	for field := range bytes.SplitSeq(text, []byte{','}) {
		name, value, ok := bytes.Cut(field, []byte{'='})
		if !ok {
			return fieldValues{}, fmt.Errorf("field %q without a value", field)
		}
		switch string(name) {
		case "c":
			fields.class = value
		case "t":
			fields.tenant = value
		case "d":
			fields.deadline = value
		case "dest":
			fields.destination = value
		case "k":
			fields.key = value
		}
	}
	return fields, nil
}

func (req *request) readClass(cfg *config.Config, fields *fieldValues) error {
	class, ok := cfg.Classes[string(fields.class)]
	if !ok {
		return fmt.Errorf("c: unknown class %q", fields.class)
	}
	req.Class, req.Record.Class = class, string(fields.class)
	return nil
}

func (req *request) readTenant(cfg *config.Config, fields *fieldValues) error {
	tenant, ok := cfg.Tenants[string(fields.tenant)]
	switch {
	case ok:
	case len(cfg.Tenants) > 0:
		return fmt.Errorf("t: unknown tenant %q", fields.tenant)
	default:
		tenant = noTenant
	}
	req.Tenant, req.Record.Tenant = tenant, string(fields.tenant)
	return nil
}

// readDeadline reads the time that the message has left. It must be called after
// readClass, since the class bounds that time.
func (req *request) readDeadline(cfg *config.Config, fields *fieldValues, now time.Time) error {
	ms, err := parseMilliseconds(string(fields.deadline))
	if err != nil {
		return fmt.Errorf("d: %w", err)
	}
	classMS := float64(cfg.Policy.Classes[req.Class].Deadline) / 1000
	if ms > maxDeadlineFactor*classMS {
		return fmt.Errorf("d: %v ms, and messages of class %s have %v at most", ms, req.Record.Class, classMS)
	}
	req.timeLeft = time.Duration(ms * float64(time.Millisecond))
	req.Record.Deadline = now.Add(req.timeLeft).UnixMicro()
	return nil
}

func (req *request) readDestination(fields *fieldValues) error {
	dest, err := strconv.ParseUint(string(fields.destination), 10, 16)
	if err != nil {
		return fmt.Errorf("dest: %.32q is no destination", fields.destination)
	}
	req.Record.Dest = int(dest)
	return nil
}

func (req *request) readIdempotencyKey(cfg *config.Config, fields *fieldValues) error {
	key := string(fields.key)
	req.Record.Key = key
	switch {
	case key != "" && !isToken(key):
		return errors.New("k: too long or not plain")
	case key == "" && cfg.Policy.Classes[req.Class].Idempotency == policy.IdempotentByKey:
		return errors.New("k: missing in a keyed class")
	}
	return nil
}

// parseMilliseconds parses a time in milliseconds: digits, optionally with decimals.
// It rejects the other forms that strconv.ParseFloat accepts (signs, exponents,
// hexadecimal).
func parseMilliseconds(s string) (float64, error) {
	whole, _, _ := strings.Cut(s, ".")
	if whole == "" || len(s) > maxTimeLength || strings.Trim(s, "0123456789.") != "" {
		return 0, fmt.Errorf("%.32q is no time in milliseconds", s)
	}
	return strconv.ParseFloat(s, 64)
}

// isToken reports whether s can be the value of an HTTP header without being encoded.
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
