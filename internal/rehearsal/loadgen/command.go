package loadgen

import (
	"strconv"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/scenario"
)

// putPrefix is the start of a submission in RESP2. Relays ignore the first argument, here
// 16 zeros.
const putPrefix = "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n"

// fieldsCapacity is the number of bytes that is enough for the fields of most submissions.
const fieldsCapacity = 160

// appendSubmission appends the command that submits a message. Its fields are the class (c), the
// portal, which is a tenant of the relays (t), the time left in ms (d), the idempotency key (k), the
// destination (dest), and retryField. retryField states why the client submits the message again,
// and is empty in the first submission.
func appendSubmission(
	buffer []byte, plan *scenario.Plan, arrival *scenario.Arrival, id string, left event.Time, retryField, body string,
) []byte {
	buffer = append(buffer, putPrefix...)
	buffer = appendBulkString(buffer, id)
	fields := make([]byte, 0, fieldsCapacity)
	fields = append(fields, "c="...)
	fields = append(fields, plan.Scenario.Classes[arrival.Class].Name...)
	fields = append(fields, ",t="...)
	fields = append(fields, plan.Scenario.Portals[arrival.Portal].Name...)
	fields = append(fields, ",d="...)
	fields = strconv.AppendInt(fields, max(left/1000, 1), 10)
	if arrival.Key != "" {
		fields = append(append(fields, ",k="...), arrival.Key...)
	}
	fields = append(fields, ",dest="...)
	fields = strconv.AppendInt(fields, int64(arrival.Destination), 10)
	if retryField != "" {
		fields = append(append(fields, ','), retryField...)
	}
	buffer = appendBulkString(buffer, string(fields))
	return appendBulkString(buffer, body)
}

func appendBulkString(buffer []byte, text string) []byte {
	buffer = append(buffer, '$')
	buffer = strconv.AppendInt(buffer, int64(len(text)), 10)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, text...)
	return append(buffer, "\r\n"...)
}
