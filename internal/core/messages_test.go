package core

// is reports whether an event or an effect is of type T.
func is[T any](v any) bool {
	_, ok := v.(T)
	return ok
}

// recordOf is the record that an effect has logged; nil for none.
func recordOf(e Effect) *Record {
	switch e := e.(type) {
	case AppendRecord:
		return e.Record
	case AppendThenReply:
		return e.Request.Record
	case AppendThenSend:
		return e.Record
	case AppendThenNotify:
		return e.Record
	}
	return nil
}

// callOf is the call whose end an event tells; nil for other events.
func callOf(e Event) *Call {
	switch e := e.(type) {
	case AttemptFinished:
		return e.Call
	case AttemptNotLogged:
		return e.Call
	}
	return nil
}
