package endpoint

// ListenerState says how a listener treats new connections.
type ListenerState uint8

// States of a listener.
const (
	Accepting    ListenerState = iota
	Refusing                   // the port is closed, so connections are refused
	Unresponsive               // connections are never established
)

// EffectKind says what the driver must do for an Effect.
type EffectKind uint8

// Kinds of effect.
const (
	// WriteResponse: write a response with Status, RetryAfter, SlotsTaken and Defect to Conn. If Close
	// is set, close Conn afterwards.
	WriteResponse EffectKind = iota
	ResetConn                // reset Conn
	ShutConn                 // close Conn
	SetListener              // set the state of Endpoint's listeners to Listener
)

// Effect is an action that the driver must carry out for the model.
type Effect struct {
	Kind       EffectKind
	Conn       ConnID
	Endpoint   int
	Status     int
	RetryAfter Time
	SlotsTaken bool // the response says that the relay has reached its limit of calls in flight
	Defect     ResponseDefect
	Close      bool
	Listener   ListenerState
}

// TakeEffects appends the effects since its last call to the slice into, in order, and returns the
// extended slice.
func (m *Model) TakeEffects(into []Effect) []Effect {
	into = append(into, m.effects...)
	clear(m.effects)
	m.effects = m.effects[:0]
	return into
}

func (m *Model) addEffect(effect Effect) { m.effects = append(m.effects, effect) }
