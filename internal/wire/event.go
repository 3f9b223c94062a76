package wire

import (
	"fmt"
	"math"
)

// Codes of events.
const (
	EvUp       = 10  // a relay starts
	EvSync     = 20  // the endpoint list is updated
	EvCall     = 30  // a message is submitted
	EvBegun    = 40  // the reply to an attempt has started to arrive
	EvResolved = 50  // an attempt has ended
	EvLapsed   = 60  // a message is withdrawn
	EvAlarm    = 70  // a timer has expired
	EvHealth   = 80  // a health check has ended
	EvDatagram = 90  // another relay has sent a datagram
	EvPowerOff = 100 // a relay stops
	EvTable    = 110 // a numbered list of endpoints, which later EvSync events refer to
)

// Kinds of EvSync.
const (
	SyncCached = 0 // a list that may be out of date
	SyncFailed = 1 // no list: fetching it failed
	SyncFull   = 3 // the complete list
	SyncDelta  = 4 // the changed entries of the list
)

// Statuses of EvResolved and EvHealth.
const (
	StatusOK     = 0
	StatusMoot   = 249 // the attempt was never sent
	StatusCancel = 250 // the attempt was cancelled
	StatusReset  = 251 // the connection was reset
	StatusNoConn = 252 // the connection could not be opened
	StatusLate   = 253 // the attempt timed out
	StatusFull   = 254 // the endpoint rejected the attempt without processing it
	StatusError  = 255 // the attempt failed
)

const (
	eventSize    = 48 // bytes
	entrySize    = 24 // bytes
	maxList      = 15 // highest valid list number
	maxReadiness = 2
)

// Entry is an entry of a list of endpoints.
type Entry struct {
	Endpoint uint64 // an IPv4 address in four bytes and a port in two
	Zone     uint16
	Kind     uint8 // kind of the destination
	Dest     uint16
	State    uint8   // readiness, from 0 to maxReadiness
	Nominal  float32 // rate
	CameUp   uint64
}

// Event is one decoded record. Its Code determines which of the other fields are used.
type Event struct {
	Code     uint8
	Relay    uint16
	Kind     uint8 // of an EvSync: one of the Sync constants
	Sheet    uint8 // number of a list of endpoints
	Status   uint8 // of an EvResolved or EvHealth: one of the Status constants
	Attempt  uint8
	Settled  bool // of an EvResolved: the attempt finished its message
	Class    uint16
	Flags    uint16 // of an EvCall
	Dest     uint16
	Ticket   uint32 // identifies a message
	Tenant   uint32
	Grace    uint32 // time left until the message's deadline, in µs
	Estimate uint32 // estimated cost of a message, in µs
	Note     uint32 // of an EvResolved: the Retry-After in ms of StatusFull, the reason of StatusMoot
	Took     uint32 // latency of an attempt or a health check, in µs
	Endpoint uint64
	Subject  uint64     // key of a message
	Token    uint64     // the seed of an EvUp, the list version of an EvSync, the timer's token of an EvAlarm
	Reports  int        // number of values in Report
	Report   [4]float32 // load report of an endpoint
	Text     []byte
	Entries  []Entry
}

// DecodeEvents decodes a frame's body: count records of eventSize, then the tail, which holds the texts
// and the lists of endpoints that records refer to.
func DecodeEvents(body []byte, count int) ([]Event, error) {
	if count < 0 || count > len(body)/eventSize {
		return nil, fmt.Errorf("batch body: %d records do not fit in %d bytes", count, len(body))
	}
	tail := body[count*eventSize:]
	events := make([]Event, count)
	for i := range events {
		if err := events[i].decode(body[i*eventSize:(i+1)*eventSize], tail); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	return events, nil
}

func (e *Event) decode(record, tail []byte) error {
	e.Code = record[0]
	if e.Code == EvTable {
		return e.decodeTable(record, tail)
	}
	e.Relay = be.Uint16(record[1:])
	switch e.Code {
	case EvUp:
		e.Token = be.Uint64(record[3:])
		return e.decodeText("up", record[11:], tail)
	case EvSync:
		return e.decodeSync(record)
	case EvCall:
		return e.decodeCall(record)
	case EvBegun:
		e.Ticket, e.Attempt = be.Uint32(record[3:]), record[7]
		e.Endpoint, e.Took = endpoint(record[8:]), be.Uint32(record[14:])
	case EvResolved:
		return e.decodeResolved(record)
	case EvLapsed:
		e.Ticket = be.Uint32(record[3:])
	case EvAlarm:
		e.Token = be.Uint64(record[3:])
	case EvHealth:
		return e.decodeHealth(record)
	case EvDatagram:
		return e.decodeText("datagram", record[7:], tail)
	case EvPowerOff:
	default:
		return fmt.Errorf("unknown event code %d", e.Code)
	}
	return nil
}

func (e *Event) decodeTable(record, tail []byte) error {
	e.Sheet = record[1]
	if e.Sheet > maxList {
		return fmt.Errorf("table: list number %d is over the maximum of %d", e.Sheet, maxList)
	}
	raw, err := tailBytes(tail, record[2:], entrySize)
	if err != nil {
		return fmt.Errorf("table: %w", err)
	}
	e.Entries, err = decodeEntries(raw)
	return err
}

func decodeEntries(raw []byte) ([]Entry, error) {
	entries := make([]Entry, len(raw)/entrySize)
	for i := range entries {
		entry := raw[i*entrySize:]
		entries[i] = Entry{
			Endpoint: endpoint(entry),
			Zone:     be.Uint16(entry[6:]),
			Kind:     entry[8],
			Dest:     be.Uint16(entry[9:]),
			State:    entry[11],
			Nominal:  math.Float32frombits(be.Uint32(entry[12:])),
			CameUp:   be.Uint64(entry[16:]),
		}
		if entries[i].State > maxReadiness {
			return nil, fmt.Errorf("table: entry %d: unknown readiness %d", i, entries[i].State)
		}
	}
	return entries, nil
}

// decodeText reads the text that a field refers to out of the tail. name is the event's name in errors.
func (e *Event) decodeText(name string, field, tail []byte) error {
	text, err := tailBytes(tail, field, 1)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	e.Text = text
	return nil
}

func (e *Event) decodeSync(record []byte) error {
	e.Kind, e.Token, e.Sheet = record[3], be.Uint64(record[4:]), record[12]
	switch e.Kind {
	case SyncCached, SyncFailed, SyncFull, SyncDelta:
	default:
		return fmt.Errorf("sync: unknown kind %d", e.Kind)
	}
	if e.Kind != SyncFailed && e.Sheet > maxList {
		return fmt.Errorf("sync: list number %d is over the maximum of %d", e.Sheet, maxList)
	}
	return nil
}

func (e *Event) decodeCall(record []byte) error {
	e.Ticket, e.Subject, e.Grace = be.Uint32(record[3:]), be.Uint64(record[7:]), be.Uint32(record[15:])
	e.Flags, e.Class = be.Uint16(record[19:]), be.Uint16(record[21:])
	dest := math.Float32frombits(be.Uint32(record[23:]))
	if !(dest >= 0 && dest <= math.MaxUint16) || dest != float32(uint16(dest)) {
		return fmt.Errorf("call: destination %v is not a whole number from 0 to %d", dest, math.MaxUint16)
	}
	e.Dest, e.Tenant, e.Estimate = uint16(dest), be.Uint32(record[27:]), be.Uint32(record[31:])
	return nil
}

func (e *Event) decodeResolved(record []byte) error {
	e.Ticket, e.Endpoint, e.Attempt = be.Uint32(record[3:]), endpoint(record[7:]), record[13]
	e.Note, e.Took = be.Uint32(record[14:]), be.Uint32(record[18:])
	e.Status, e.Settled = record[22], record[23] != 0
	if !knownStatus(e.Status) {
		return fmt.Errorf("resolved: unknown status %d", e.Status)
	}
	if err := e.decodeReport(record[24:]); err != nil {
		return fmt.Errorf("resolved: %w", err)
	}
	return nil
}

func (e *Event) decodeHealth(record []byte) error {
	e.Endpoint, e.Status, e.Took = endpoint(record[3:]), record[9], be.Uint32(record[10:])
	if !knownStatus(e.Status) {
		return fmt.Errorf("health_result: unknown status %d", e.Status)
	}
	if err := e.decodeReport(record[14:]); err != nil {
		return fmt.Errorf("health_result: %w", err)
	}
	return nil
}

func (e *Event) decodeReport(field []byte) error {
	e.Reports = int(field[0])
	if e.Reports > len(e.Report) {
		return fmt.Errorf("report of %d values is over the maximum of %d", e.Reports, len(e.Report))
	}
	for i := range e.Report {
		e.Report[i] = math.Float32frombits(be.Uint32(field[1+4*i:]))
	}
	return nil
}

func knownStatus(status uint8) bool { return status == StatusOK || status >= StatusMoot }

func endpoint(field []byte) uint64 {
	return uint64(be.Uint32(field))<<16 | uint64(be.Uint16(field[4:]))
}
