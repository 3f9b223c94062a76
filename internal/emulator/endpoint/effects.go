package endpoint

// ListenerState says how an endpoint treats new connections.
type ListenerState uint8

// States of a listener.
const (
	Accepting    ListenerState = iota
	Refusing                   // there is no listener: connections are refused
	Unresponsive               // connections are never established
)

// EffectKind says what an Effect asks for.
type EffectKind uint8

// Kinds of effect.
const (
	WriteResponse EffectKind = iota // write a response on Conn: Status, RetryAfter, SlotsTaken, Defect; then Close
	ResetConn                       // reset Conn
	ShutConn                        // close Conn
	SetListener                     // bring Endpoint's listeners into the state Listener
)

// Effect is something that the model asks of its driver.
type Effect struct {
	Kind       EffectKind
	Conn       ConnID
	Endpoint   int
	Status     int
	RetryAfter Time
	SlotsTaken bool // the response says that the relay has as many calls in flight as it may
	Defect     ResponseDefect
	Close      bool
	Listener   ListenerState
}

// TakeEffects appends the effects since the last call to a slice, in order.
func (m *Model) TakeEffects(into []Effect) []Effect {
	into = append(into, m.effects...)
	clear(m.effects)
	m.effects = m.effects[:0]
	return into
}

func (m *Model) addEffect(effect Effect) { m.effects = append(m.effects, effect) }
