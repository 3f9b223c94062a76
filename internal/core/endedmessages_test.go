package core

import (
	"fmt"
	"strings"
	"testing"
)

// TestEndedMessagesAreBounded guards against memory that grows with the messages that have ended, and against
// forgetting the newest of them.
func TestEndedMessagesAreBounded(t *testing.T) {
	for _, idLength := range []int{16, 256} {
		ended := newEndedMessages()
		id := func(n int) string { return fmt.Sprintf("%0*d", idLength, n) }
		const messages = 3 * maxEndedMessages
		for n := range messages {
			ended.add(EndedMessage{Message: id(n), Delivered: n%2 == 0})
			ended.add(EndedMessage{Message: id(n), Delivered: n%2 == 0})
		}
		if len(ended.delivered) > maxEndedMessages || ended.bytes > maxEndedBytes ||
			len(ended.oldest) != len(ended.delivered) || ended.bytes != idLength*len(ended.oldest) {
			t.Errorf("IDs of %d bytes: %d messages in %d bytes are remembered, want at most %d in %d",
				idLength, len(ended.delivered), ended.bytes, maxEndedMessages, maxEndedBytes)
		}
		kept := min(maxEndedMessages, maxEndedBytes/idLength)
		for n := range messages {
			reply, known := ended.reply(id(n))
			if want := n >= messages-kept; known != want || known && reply.OK != (n%2 == 0) {
				t.Fatalf("IDs of %d bytes, message %d: reply %+v, remembered %v; want %v",
					idLength, n, reply, known, want)
			}
		}
		newest := ended.newest(3)
		if len(newest) != 3 || !strings.HasSuffix(newest[2].Message, fmt.Sprint(messages-1)) {
			t.Errorf("newest(3) = %+v, want the last three", newest)
		}
	}
}
