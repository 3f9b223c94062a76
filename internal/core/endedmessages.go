package core

const (
	maxEndedMessages   = 4096
	maxEndedBytes      = 256 << 10 // of their IDs
	maxHandedOverEnded = 1024      // the newest ones
)

// EndedMessage is a message that has ended and that must not run again.
type EndedMessage struct {
	Message   string `json:"message"`
	Delivered bool   `json:"delivered,omitempty"` // if false, it was given up and may have run
}

// endedMessages remembers messages that have ended and have run or may have run. A client that has left
// before it read the reply may submit its message again; the message must not run a second time. The
// oldest messages are forgotten first.
type endedMessages struct {
	delivered map[string]bool // by ID
	oldest    []string        // IDs from the oldest to the newest
	bytes     int             // of the IDs
}

func newEndedMessages() endedMessages { return endedMessages{delivered: map[string]bool{}} }

// add remembers a message.
func (e *endedMessages) add(ended EndedMessage) {
	if _, known := e.delivered[ended.Message]; known {
		e.delivered[ended.Message] = ended.Delivered
		return
	}
	e.delivered[ended.Message] = ended.Delivered
	e.oldest = append(e.oldest, ended.Message)
	e.bytes += len(ended.Message)
	for len(e.oldest) > maxEndedMessages || e.bytes > maxEndedBytes {
		e.bytes -= len(e.oldest[0])
		delete(e.delivered, e.oldest[0])
		e.oldest[0] = ""
		e.oldest = e.oldest[1:]
	}
}

// reply returns the reply to a message that is submitted again. ended is false if it is not remembered.
func (e *endedMessages) reply(id string) (reply Reply, ended bool) {
	delivered, ended := e.delivered[id]
	if !ended {
		return Reply{}, false
	}
	if delivered {
		return Reply{OK: true}, true
	}
	return Reply{Err: errGivenUp}, true
}

// newest returns at most the given number of messages, from the oldest to the newest.
func (e *endedMessages) newest(most int) (list []EndedMessage) {
	for _, id := range e.oldest[max(0, len(e.oldest)-most):] {
		list = append(list, EndedMessage{Message: id, Delivered: e.delivered[id]})
	}
	return list
}
