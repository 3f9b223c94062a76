package registry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"troutusher/internal/event"
)

const maxNoticeBytes = 1 << 20

// noticeStatus maps the outcomes in notices to the status of the event.
var noticeStatus = map[string]int{"given_up": event.NoticeGivenUp, "handed_back": event.NoticeHandedBack}

var errInvalidNotice = errors.New("not a notice")

// notice reports how an undelivered message ended: the relay gave it up, or handed it back to the
// client, which may submit it again after RetryMS.
type notice struct {
	Message string `json:"message"` // the ID of the message
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms"`
}

// serveNotices accepts a body of notices, one JSON object per line. If one of them is not
// valid, it rejects the whole body.
func (a *agent) serveNotices(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoticeBytes))
	if err != nil {
		http.Error(w, "too long, or cut off", http.StatusBadRequest)
		return
	}
	var received []event.Event
	for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		e, err := a.parseNotice(lines.Bytes())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		received = append(received, e)
	}
	for _, e := range received {
		e.At = a.config.Clock()
		a.config.Emit(e)
	}
	w.WriteHeader(http.StatusNoContent)
}

// parseNotice converts a line of the body to an event.
func (a *agent) parseNotice(line []byte) (event.Event, error) {
	var n notice
	if err := json.Unmarshal(line, &n); err != nil {
		return event.Event{}, errInvalidNotice
	}
	status, known := noticeStatus[n.Outcome]
	if !known || n.Message == "" {
		return event.Event{}, errInvalidNotice
	}
	return event.Event{
		Kind: event.NoticeReceived, ID: n.Message, Relay: a.relay, Status: status, Wait: n.RetryMS * 1000,
	}, nil
}
