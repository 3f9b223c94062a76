package core

// RecordKind says what a record of the log tells of its message.
type RecordKind string

// Kinds of record.
const (
	RecordAccepted RecordKind = "taken"   // all of the message, and its state where the log was compacted
	RecordAttempt  RecordKind = "attempt" // is about to go out
	RecordOutcome  RecordKind = "outcome" // of the attempt that is out
	RecordEnding   RecordKind = "ending"  // its notice is to be sent
	RecordDone     RecordKind = "end"     // nothing is owed any more
)

// Record is one entry of the log. Times are Unix microseconds.
type Record struct {
	Kind       RecordKind `json:"kind"`
	ID         string     `json:"id"`
	Class      string     `json:"class,omitempty"`
	Tenant     string     `json:"tenant,omitempty"`
	Key        string     `json:"key,omitempty"`
	Dest       int        `json:"dest,omitempty"`
	Deadline   int64      `json:"deadline,omitempty"`
	At         int64      `json:"at,omitempty"`     // attempt: when it goes out
	Zone       int        `json:"zone,omitempty"`   // attempt: of its endpoint
	MayHaveRun bool       `json:"ran,omitempty"`    // outcome: it may have run
	NotCounted bool       `json:"void,omitempty"`   // outcome: it never left, and uses up no attempt
	Notice     string     `json:"notice,omitempty"` // ending: the word for it
	RetryMS    int64      `json:"retry_ms,omitempty"`
	// The state of a message, as earlier records left it.
	Attempts           int   `json:"tries,omitempty"`
	FirstUncertainAt   int64 `json:"doubt,omitempty"` // send of the first attempt that may have run
	FirstUncertainZone int   `json:"doubt_in,omitempty"`
	OpenAttemptAt      int64 `json:"out,omitempty"` // send of an attempt with no outcome yet
	OpenAttemptZone    int   `json:"out_in,omitempty"`

	Body []byte `json:"-"`
}

// Apply brings a taken record up to date with a later one.
func (t *Record) Apply(r *Record) {
	switch r.Kind {
	case RecordAttempt:
		t.Attempts++
		t.OpenAttemptAt, t.OpenAttemptZone = r.At, r.Zone
	case RecordOutcome:
		if r.MayHaveRun && t.FirstUncertainAt == 0 {
			t.FirstUncertainAt, t.FirstUncertainZone = t.OpenAttemptAt, t.OpenAttemptZone
		}
		if r.NotCounted {
			t.Attempts = max(t.Attempts-1, 0)
		}
		t.OpenAttemptAt, t.OpenAttemptZone = 0, 0
	case RecordEnding:
		t.Notice, t.RetryMS = r.Notice, r.RetryMS
	}
}

// ResolveOpenAttempt reads an attempt whose outcome nobody saw as one that may have run.
func (t *Record) ResolveOpenAttempt() {
	if t.OpenAttemptAt != 0 {
		t.Apply(&Record{Kind: RecordOutcome, MayHaveRun: true})
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
	NoticeGivenUp    = "given_up"
	NoticeHandedBack = "handed_back"
)
