package core

// RecordKind says what a record of the log tells of its message.
type RecordKind string

// Kinds of record.
const (
	Taken   RecordKind = "taken"   // all of the message, and its state where the log was compacted
	Attempt RecordKind = "attempt" // is about to go out
	Outcome RecordKind = "outcome" // of the attempt that is out
	Ending  RecordKind = "ending"  // its notice is to be sent
	End     RecordKind = "end"     // nothing is owed any more
)

// Record is one entry of the log. Times are Unix microseconds.
type Record struct {
	Kind     RecordKind `json:"kind"`
	ID       string     `json:"id"`
	Class    string     `json:"class,omitempty"`
	Tenant   string     `json:"tenant,omitempty"`
	Key      string     `json:"key,omitempty"`
	Dest     int        `json:"dest,omitempty"`
	Deadline int64      `json:"deadline,omitempty"`
	At       int64      `json:"at,omitempty"`     // attempt: when it goes out
	Zone     int        `json:"zone,omitempty"`   // attempt: of its endpoint
	Ran      bool       `json:"ran,omitempty"`    // outcome: it may have run
	Void     bool       `json:"void,omitempty"`   // outcome: it never left, and uses up no attempt
	Notice   string     `json:"notice,omitempty"` // ending: the word for it
	RetryMS  int64      `json:"retry_ms,omitempty"`
	// The state of a message, as earlier records left it.
	Tries   int   `json:"tries,omitempty"`
	Doubt   int64 `json:"doubt,omitempty"` // send of the first attempt that may have run
	DoubtIn int   `json:"doubt_in,omitempty"`
	Out     int64 `json:"out,omitempty"` // send of an attempt with no outcome yet
	OutIn   int   `json:"out_in,omitempty"`

	Body []byte `json:"-"`
}

// Fold brings a taken record up to date with a later one.
func (t *Record) Fold(r *Record) {
	switch r.Kind {
	case Attempt:
		t.Tries++
		t.Out, t.OutIn = r.At, r.Zone
	case Outcome:
		if r.Ran && t.Doubt == 0 {
			t.Doubt, t.DoubtIn = t.Out, t.OutIn
		}
		if r.Void {
			t.Tries = max(t.Tries-1, 0)
		}
		t.Out, t.OutIn = 0, 0
	case Ending:
		t.Notice, t.RetryMS = r.Notice, r.RetryMS
	}
}

// Settle reads an attempt whose outcome nobody saw as one that may have run.
func (t *Record) Settle() {
	if t.Out != 0 {
		t.Fold(&Record{Kind: Outcome, Ran: true})
	}
}

// Notice tells the platform how a message ended.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms,omitempty"`
}

// Words for the end of a message that was not delivered.
const (
	GivenUp    = "given_up"
	HandedBack = "handed_back"
)
