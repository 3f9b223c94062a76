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
	fields, err := parseFields(string(args[3]))
	if err != nil {
		return nil, err
	}
	req := &request{Request: core.Request{
		Record: &record{Kind: core.RecordAccepted, ID: id, Body: bytes.Clone(args[4])},
	}}
	req.Handle = req
	if err := req.readClass(cfg, fields); err != nil {
		return nil, err
	}
	if err := req.readTenant(cfg, fields); err != nil {
		return nil, err
	}
	if err := req.readDeadline(cfg, fields, now); err != nil {
		return nil, err
	}
	if err := req.readDestination(fields); err != nil {
		return nil, err
	}
	if err := req.readIdempotencyKey(cfg, fields); err != nil {
		return nil, err
	}
	return req, nil
}

// parseFields parses name=value pairs that are separated by commas. Pairs with unknown
// names are in the result too; the callers ignore them.
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

func (req *request) readClass(cfg *config.Config, fields map[string]string) error {
	name := fields["c"]
	class, ok := cfg.Classes[name]
	if !ok {
		return fmt.Errorf("c: unknown class %q", name)
	}
	req.Class, req.Record.Class = class, name
	return nil
}

func (req *request) readTenant(cfg *config.Config, fields map[string]string) error {
	name := fields["t"]
	tenant, ok := cfg.Tenants[name]
	switch {
	case ok:
	case len(cfg.Tenants) > 0:
		return fmt.Errorf("t: unknown tenant %q", name)
	default:
		tenant = noTenant
	}
	req.Tenant, req.Record.Tenant = tenant, name
	return nil
}

// readDeadline reads the time that the message has left. It must be called after
// readClass, since the class bounds that time.
func (req *request) readDeadline(cfg *config.Config, fields map[string]string, now time.Time) error {
	ms, err := parseMilliseconds(fields["d"])
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

func (req *request) readDestination(fields map[string]string) error {
	dest, err := strconv.ParseUint(fields["dest"], 10, 16)
	if err != nil {
		return fmt.Errorf("dest: %.32q is no destination", fields["dest"])
	}
	req.Record.Dest = int(dest)
	return nil
}

func (req *request) readIdempotencyKey(cfg *config.Config, fields map[string]string) error {
	key := fields["k"]
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
