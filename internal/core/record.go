package core

// RecordKind says what a record of the log tells of its message.
type RecordKind string

// Kinds of record.
const (
	RecordAccepted RecordKind = "taken"   // the whole message, and its state where the log was compacted
	RecordAttempt  RecordKind = "attempt" // an attempt is about to be made
	RecordOutcome  RecordKind = "outcome" // of the open attempt
	RecordEnding   RecordKind = "ending"  // it has ended; its notice is to be sent
	RecordDone     RecordKind = "end"     // nothing is owed any more
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
	// Of an attempt: when it is made, and the zone of its endpoint.
	At   int64 `json:"at,omitempty"`
	Zone int   `json:"zone,omitempty"`
	// Of an outcome: the attempt may have run; it never left and uses up no attempt.
	MayHaveRun bool `json:"ran,omitempty"`
	NotCounted bool `json:"void,omitempty"`
	// Of an ending: what its notice says.
	Notice  string `json:"notice,omitempty"`
	RetryMS int64  `json:"retry_ms,omitempty"`
	// The state of a message, as earlier records left it: its attempts, the first of
	// them that may have run, and one that has no outcome yet.
	Attempts           int   `json:"tries,omitempty"`
	FirstUncertainAt   int64 `json:"doubt,omitempty"`
	FirstUncertainZone int   `json:"doubt_in,omitempty"`
	OpenAttemptAt      int64 `json:"out,omitempty"`
	OpenAttemptZone    int   `json:"out_in,omitempty"`

	Body []byte `json:"-"`
}

// Apply brings the record of an accepted message up to date with a later record of it.
func (r *Record) Apply(later *Record) {
	switch later.Kind {
	case RecordAttempt:
		r.Attempts++
		r.OpenAttemptAt, r.OpenAttemptZone = later.At, later.Zone
	case RecordOutcome:
		if later.MayHaveRun && r.FirstUncertainAt == 0 {
			r.FirstUncertainAt, r.FirstUncertainZone = r.OpenAttemptAt, r.OpenAttemptZone
		}
		if later.NotCounted {
			r.Attempts = max(r.Attempts-1, 0)
		}
		r.OpenAttemptAt, r.OpenAttemptZone = 0, 0
	case RecordEnding:
		r.Notice, r.RetryMS = later.Notice, later.RetryMS
	}
}

// ResolveOpenAttempt takes an attempt whose outcome is not known for one that may have
// run.
func (r *Record) ResolveOpenAttempt() {
	if r.OpenAttemptAt != 0 {
		r.Apply(&Record{Kind: RecordOutcome, MayHaveRun: true})
	}
}

// Notice tells the platform how a message ended.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms,omitempty"`
}

// Outcomes of messages that were not delivered, as notices and records name them.
const (
	NoticeGivenUp    = "given_up"
	NoticeHandedBack = "handed_back"
)
