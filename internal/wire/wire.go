// Package wire is the codec of the binary frames and of the settings text
// that a relay host speaks. It checks every bound and holds no policy.
package wire

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the frame's parts.
const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 48
	actionSize  = 24
	entrySize   = 24
	maxList     = 15
	maxBody     = 1 << 30
)

// Codes of events.
const (
	EvUp         = 10
	EvSync       = 20
	EvCall       = 30
	EvBegun      = 40
	EvResolved   = 50
	EvLapsed     = 60
	EvAlarm      = 70
	EvHealth     = 80
	EvDatagram   = 90
	EvPowerOff   = 100
	EvTable      = 110
	SyncCached   = 0
	SyncFailed   = 1
	SyncFull     = 3
	SyncDelta    = 4
	StatusOK     = 0
	StatusMoot   = 249
	StatusCancel = 250
	StatusReset  = 251
	StatusNoConn = 252
	StatusLate   = 253
	StatusFull   = 254
	StatusError  = 255
)

// Codes of actions.
const (
	ActDeliver = 20
	ActRefuse  = 30
	ActLog     = 40
	ActListen  = 50
	ActRemind  = 60
	ActLose    = 70
	ActProbe   = 80
	ActRead    = 90
	ActBug     = 100
	ActClose   = 110
	ActCancel  = 120
)

// Entry is a line of a list.
type Entry struct {
	Endpoint uint64 // four bytes of address and two of port
	Zone     uint16
	Kind     uint8
	Dest     uint16
	State    uint8
	Nominal  float32
	CameUp   uint64
}

// Event is one decoded record.
type Event struct {
	Code     uint8
	Relay    uint16
	Kind     uint8
	Sheet    uint8
	Status   uint8
	Attempt  uint8
	Settled  bool
	Class    uint16
	Flags    uint16
	Dest     uint16
	Ticket   uint32
	Tenant   uint32
	Grace    uint32
	Estimate uint32
	Note     uint32
	Took     uint32
	Endpoint uint64
	Subject  uint64
	Token    uint64 // the seed of an EvUp, the version of an EvSync
	Reports  int
	Report   [4]float32
	Text     []byte
	Entries  []Entry
}

// Action is one record to encode.
type Action struct {
	Code     uint8
	Relay    uint16
	Attempt  uint8
	On       bool
	Ticket   uint32
	After    uint32
	Endpoint uint64
	At       uint64
	Token    uint64
	Text     string
}

var be = binary.BigEndian

// ReadBatch reads and decodes one frame. A clean end of input gives io.EOF.
func ReadBatch(r io.Reader) (clock uint64, events []Event, err error) {
	var head [batchHeader]byte
	n, err := io.ReadFull(r, head[:])
	if err == io.EOF {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("batch header: input ended after %d of %d bytes", n, batchHeader)
	}
	size, count := be.Uint32(head[8:]), be.Uint32(head[12:])
	if size > maxBody {
		return 0, nil, fmt.Errorf("batch header: length %d is over %d", size, maxBody)
	}
	if uint64(count)*eventSize > uint64(size) {
		return 0, nil, fmt.Errorf("batch header: %d records do not fit in %d bytes", count, size)
	}
	// Read in bounded steps, so that a corrupt length cannot claim memory the input never fills.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return 0, nil, fmt.Errorf("batch body: %w", err)
	}
	if len(body) < int(size) {
		return 0, nil, fmt.Errorf("batch body: input ended after %d of %d bytes", len(body), size)
	}
	events, err = DecodeEvents(body, int(count))
	return be.Uint64(head[:]), events, err
}

// DecodeEvents decodes the records and the tail of a frame's body.
func DecodeEvents(body []byte, count int) ([]Event, error) {
	if count < 0 || count > len(body)/eventSize {
		return nil, fmt.Errorf("batch body: %d records do not fit in %d bytes", count, len(body))
	}
	tail := body[count*eventSize:]
	events := make([]Event, count)
	for i := range events {
		if err := decodeEvent(&events[i], body[i*eventSize:(i+1)*eventSize], tail); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	return events, nil
}

func endpoint(b []byte) uint64 { return uint64(be.Uint32(b))<<16 | uint64(be.Uint16(b[4:])) }

func tailBytes(tail, field []byte, unit int) ([]byte, error) {
	off, n := uint64(be.Uint32(field)), uint64(be.Uint32(field[4:]))
	if off > uint64(len(tail)) || n*uint64(unit) > uint64(len(tail))-off {
		return nil, fmt.Errorf("offset %d and length %d lie outside the tail of %d bytes", off, n, len(tail))
	}
	return tail[off : off+n*uint64(unit)], nil
}

func (e *Event) report(b []byte) error {
	e.Reports = int(b[0])
	if e.Reports > len(e.Report) {
		return fmt.Errorf("report of %d values, at most %d", e.Reports, len(e.Report))
	}
	for i := range e.Report {
		e.Report[i] = math.Float32frombits(be.Uint32(b[1+4*i:]))
	}
	return nil
}

func knownStatus(s uint8) bool { return s == StatusOK || s >= StatusMoot }

func decodeEvent(e *Event, b, tail []byte) (err error) {
	e.Code = b[0]
	if e.Code == EvTable {
		e.Sheet = b[1]
		if e.Sheet > maxList {
			return fmt.Errorf("table: list number %d, at most %d", e.Sheet, maxList)
		}
		raw, err := tailBytes(tail, b[2:], entrySize)
		if err != nil {
			return fmt.Errorf("table: %w", err)
		}
		e.Entries, err = decodeEntries(raw)
		return err
	}
	e.Relay = be.Uint16(b[1:])
	switch e.Code {
	case EvUp:
		e.Token = be.Uint64(b[3:])
		if e.Text, err = tailBytes(tail, b[11:], 1); err != nil {
			return fmt.Errorf("up: %w", err)
		}
	case EvSync:
		e.Kind, e.Token, e.Sheet = b[3], be.Uint64(b[4:]), b[12]
		if e.Kind != SyncCached && e.Kind != SyncFailed && e.Kind != SyncFull && e.Kind != SyncDelta {
			return fmt.Errorf("sync: unknown kind %d", e.Kind)
		}
		if e.Kind != SyncFailed && e.Sheet > maxList {
			return fmt.Errorf("sync: list number %d, at most %d", e.Sheet, maxList)
		}
	case EvCall:
		e.Ticket, e.Subject, e.Grace = be.Uint32(b[3:]), be.Uint64(b[7:]), be.Uint32(b[15:])
		e.Flags, e.Class = be.Uint16(b[19:]), be.Uint16(b[21:])
		d := math.Float32frombits(be.Uint32(b[23:]))
		if !(d >= 0 && d <= math.MaxUint16) || d != float32(uint16(d)) {
			return fmt.Errorf("call: destination %v is no whole number from 0 to %d", d, math.MaxUint16)
		}
		e.Dest, e.Tenant, e.Estimate = uint16(d), be.Uint32(b[27:]), be.Uint32(b[31:])
	case EvBegun:
		e.Ticket, e.Attempt, e.Endpoint, e.Took = be.Uint32(b[3:]), b[7], endpoint(b[8:]), be.Uint32(b[14:])
	case EvResolved:
		e.Ticket, e.Endpoint, e.Attempt = be.Uint32(b[3:]), endpoint(b[7:]), b[13]
		e.Note, e.Took, e.Status, e.Settled = be.Uint32(b[14:]), be.Uint32(b[18:]), b[22], b[23] != 0
		if !knownStatus(e.Status) {
			return fmt.Errorf("resolved: unknown status %d", e.Status)
		}
		if err := e.report(b[24:]); err != nil {
			return fmt.Errorf("resolved: %w", err)
		}
	case EvLapsed:
		e.Ticket = be.Uint32(b[3:])
	case EvAlarm:
		e.Token = be.Uint64(b[3:])
	case EvHealth:
		e.Endpoint, e.Status, e.Took = endpoint(b[3:]), b[9], be.Uint32(b[10:])
		if !knownStatus(e.Status) {
			return fmt.Errorf("health_result: unknown status %d", e.Status)
		}
		if err := e.report(b[14:]); err != nil {
			return fmt.Errorf("health_result: %w", err)
		}
	case EvDatagram:
		if e.Text, err = tailBytes(tail, b[7:], 1); err != nil {
			return fmt.Errorf("datagram: %w", err)
		}
	case EvPowerOff:
	default:
		return fmt.Errorf("unknown event code %d", e.Code)
	}
	return nil
}

func decodeEntries(raw []byte) ([]Entry, error) {
	entries := make([]Entry, len(raw)/entrySize)
	for i := range entries {
		b := raw[i*entrySize:]
		entries[i] = Entry{Endpoint: endpoint(b), Zone: be.Uint16(b[6:]), Kind: b[8], Dest: be.Uint16(b[9:]),
			State: b[11], Nominal: math.Float32frombits(be.Uint32(b[12:])), CameUp: be.Uint64(b[16:])}
		if b[11] > 2 {
			return nil, fmt.Errorf("table: entry %d: unknown readiness %d", i, b[11])
		}
	}
	return entries, nil
}

// AppendReply encodes a reply frame.
func AppendReply(dst []byte, actions []Action) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, replyHeader+actionSize*len(actions))...)
	tailAt := len(dst)
	for i := range actions {
		a := &actions[i]
		b := dst[start+replyHeader+i*actionSize:][:actionSize]
		b[0] = a.Code
		be.PutUint16(b[1:], a.Relay)
		switch a.Code {
		case ActDeliver:
			be.PutUint32(b[3:], a.Ticket)
			putEndpoint(b[7:], a.Endpoint)
			be.PutUint64(b[13:], a.At)
		case ActRefuse:
			be.PutUint32(b[3:], a.Ticket)
			be.PutUint32(b[7:], a.After)
		case ActLose:
			be.PutUint32(b[3:], a.Ticket)
		case ActCancel:
			be.PutUint32(b[3:], a.Ticket)
			b[7] = a.Attempt
		case ActRemind:
			be.PutUint32(b[3:], a.After)
			be.PutUint64(b[7:], a.Token)
		case ActProbe, ActClose:
			putEndpoint(b[3:], a.Endpoint)
		case ActListen:
			if a.On {
				b[3] = 1
			}
		case ActRead:
		case ActLog, ActBug:
			be.PutUint32(b[3:], uint32(len(dst)-tailAt))
			be.PutUint32(b[7:], uint32(len(a.Text)))
			dst = append(dst, a.Text...)
		default:
			return nil, fmt.Errorf("unknown action code %d", a.Code)
		}
	}
	be.PutUint32(dst[start:], uint32(len(dst)-start-replyHeader))
	be.PutUint32(dst[start+4:], uint32(len(actions)))
	return dst, nil
}

func putEndpoint(b []byte, e uint64) {
	be.PutUint32(b, uint32(e>>16))
	be.PutUint16(b[4:], uint16(e))
}

// Settings is the settings text as it comes. Unknown keys are ignored.
type Settings struct {
	Accounts []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
		Share float64 `json:"share"`
	} `json:"accounts"`
	Balancers int `json:"balancers"`
	Classes   []struct {
		Deadline   int64   `json:"deadline_us"`
		Window     int64   `json:"dedup_window_us"`
		Group      string  `json:"group"`
		LateWorth  float64 `json:"late_worth"`
		Name       string  `json:"name"`
		Repeat     string  `json:"repeat"`
		Sequential bool    `json:"sequential"`
		Target     int64   `json:"target_us"`
		Worth      float64 `json:"worth"`
	} `json:"classes"`
	Discovery string   `json:"discovery"`
	Kinds     []string `json:"kinds"`
	Limits    struct {
		ConnectTimeout int64 `json:"connect_timeout_us"`
		KeepAlive      int64 `json:"keepalive_us"`
		MaxRetryAfter  int64 `json:"max_retry_after_us"`
		MayCancel      bool  `json:"may_cancel"`
		MostHeld       int   `json:"most_held"`
		MostTries      int   `json:"most_tries"`
		Probing        bool  `json:"probing"`
		RetryAfter     bool  `json:"retry_after"`
		StreamsPerConn int   `json:"streams_per_conn"`
	} `json:"limits"`
	OverShareWorth float64 `json:"over_share_worth"`
	Report         struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Safety struct {
		AnswerSlack    int64   `json:"answer_slack_us"`
		AskEvery       int64   `json:"ask_every_us"`
		DrainGrace     int64   `json:"drain_grace_us"`
		FallTime       int64   `json:"fall_us"`
		OverloadFactor float64 `json:"overload_factor"`
		RampTime       int64   `json:"ramp_time_us"`
		StartCapacity  float64 `json:"start_capacity"`
		KeyRest        int64   `json:"settle_after_doubt_us"`
	} `json:"safety"`
	Specifics struct {
		CallsOut  int    `json:"calls_out"`
		KindBatch []int  `json:"kind_batch"`
		Late      string `json:"late"`
		OwnLimits []bool `json:"own_limits"`
	} `json:"specifics"`
	Tick    int64  `json:"tick_us"`
	ValueBy string `json:"value_by"`
	Weights string `json:"weights"`
	Zone    int    `json:"zone"`
}

// ParseSettings decodes the settings text.
func ParseSettings(text []byte) (*Settings, error) {
	s := &Settings{OverShareWorth: 1}
	if err := json.Unmarshal(text, s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("settings: %s: wrong type %s", te.Field, te.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}
