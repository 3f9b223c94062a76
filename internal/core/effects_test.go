package core

import (
	"encoding/json"
	"fmt"
)

// renderRecord returns the record that an effect appends, in the JSON form of the log.
func renderRecord(effect Effect) string {
	text, err := json.Marshal(recordOf(effect))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func renderCall(call *Call) string {
	return fmt.Sprint(call.Record.ID, " endpoint=", call.Endpoint, " timeout=", call.Timeout, " by=", call.SendBy,
		" warming=", call.WarmingUp, " connect=", call.MayConnect, " sent=", call.SentAt())
}

// renderEffect returns an effect as text: a fixed name and its contents. The recorded fixtures depend
// on each of these texts.
func renderEffect(effect Effect) string {
	switch e := effect.(type) {
	case SendReply:
		return fmt.Sprint("reply ", e.Request.Record.ID, " ok=", e.Reply.OK, " err=", e.Reply.Err,
			" retry=", e.Reply.RetryAfterMS)
	case AppendRecord:
		return "append " + renderRecord(e)
	case AppendThenReply:
		return "append-reply " + e.Request.Record.ID + " " + renderRecord(e)
	case AppendThenSend:
		return "append-send " + renderRecord(e) + " " + renderCall(e.Call)
	case ResumeCall:
		return "resume " + renderCall(e.Call)
	case AppendThenNotify:
		return fmt.Sprintf("append-notify %s %+v", renderRecord(e), e.Notice)
	case SendNotice:
		return fmt.Sprintf("notify %+v", e.Notice)
	case CancelCall:
		return "cancel " + renderCall(e.Call)
	case CheckHealth:
		return fmt.Sprint("probe ", e.Endpoint)
	case OpenEndpoint:
		return fmt.Sprint("open ", e.Endpoint, " ", e.Address, " dest=", e.Dest, " flavor=", e.Flavor,
			" independent=", e.IndependentRoute)
	case CloseEndpoint:
		return fmt.Sprint("close ", e.Endpoint)
	case ApplyRetryAfter:
		return fmt.Sprint("retry-after ", e.Endpoint, " ", e.Until)
	case CloseIdleConnections:
		return fmt.Sprint("close-idle ", e.Endpoint)
	case ForgetEndpoint:
		return fmt.Sprint("forget ", e.Endpoint)
	case PassivateDestination:
		return fmt.Sprint("passivate ", e.Dest)
	case Log:
		if e.Text == "policy" {
			return "log " + e.Level.String() + " policy" // package policy determines the arguments
		}
		return fmt.Sprint("log ", e.Level, " ", e.Text, " ", e.Args)
	case StepAgain:
		return "again"
	}
	return "unknown"
}
