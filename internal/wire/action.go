package wire

import "fmt"

// Codes of actions.
const (
	ActDeliver = 20  // send a message to an endpoint
	ActRefuse  = 30  // reject a message; its client may retry
	ActLog     = 40  // write a log line
	ActListen  = 50  // subscribe to list updates, or unsubscribe
	ActRemind  = 60  // set a timer
	ActLose    = 70  // fail a message
	ActProbe   = 80  // check an endpoint's health
	ActRead    = 90  // fetch the whole endpoint list once
	ActBug     = 100 // report that a relay cannot be hosted
	ActClose   = 110 // close an endpoint's idle connections
	ActCancel  = 120 // cancel an attempt
)

const actionSize = 24 // bytes

// Action is one record to encode. Its Code determines which of the other fields are used.
type Action struct {
	Code     uint8
	Relay    uint16
	Attempt  uint8
	On       bool   // of an ActListen: subscribe; if false, unsubscribe
	Ticket   uint32 // identifies a message
	After    uint32 // the Retry-After of an ActRefuse, the delay of an ActRemind; in µs
	Endpoint uint64
	At       uint64 // of an ActDeliver: when the attempt times out, in µs
	Token    uint64 // of an ActRemind: returned in its EvAlarm
	Text     string // of an ActLog or ActBug
}

// encode writes the action into record and appends its text, if any, to frame, which ends with the tail. tailSize is
// the size of the tail so far, and thus the offset of the text.
func (a *Action) encode(record, frame []byte, tailSize int) ([]byte, error) {
	record[0] = a.Code
	be.PutUint16(record[1:], a.Relay)
	switch a.Code {
	case ActDeliver:
		be.PutUint32(record[3:], a.Ticket)
		putEndpoint(record[7:], a.Endpoint)
		be.PutUint64(record[13:], a.At)
	case ActRefuse:
		be.PutUint32(record[3:], a.Ticket)
		be.PutUint32(record[7:], a.After)
	case ActLose:
		be.PutUint32(record[3:], a.Ticket)
	case ActCancel:
		be.PutUint32(record[3:], a.Ticket)
		record[7] = a.Attempt
	case ActRemind:
		be.PutUint32(record[3:], a.After)
		be.PutUint64(record[7:], a.Token)
	case ActProbe, ActClose:
		putEndpoint(record[3:], a.Endpoint)
	case ActListen:
		if a.On {
			record[3] = 1
		}
	case ActRead:
	case ActLog, ActBug:
		be.PutUint32(record[3:], uint32(tailSize))
		be.PutUint32(record[7:], uint32(len(a.Text)))
		frame = append(frame, a.Text...)
	default:
		return nil, fmt.Errorf("unknown action code %d", a.Code)
	}
	return frame, nil
}

func putEndpoint(field []byte, endpoint uint64) {
	be.PutUint32(field, uint32(endpoint>>16))
	be.PutUint16(field[4:], uint16(endpoint))
}
