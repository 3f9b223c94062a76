package core

// RecordKind is the kind of a log record.
type RecordKind string

// Kinds of record.
const (
	RecordAccepted RecordKind = "taken"   // the complete message; after a compaction also its state
	RecordAttempt  RecordKind = "attempt" // an attempt is about to be made
	RecordOutcome  RecordKind = "outcome" // outcome of the open attempt
	RecordEnding   RecordKind = "ending"  // the message has ended; its notice has to be sent
	RecordDone     RecordKind = "end"     // nothing remains to be done for the message

	RecordEndpoint          RecordKind = "endpoint"  // where an endpoint may be called, since it has departed
	RecordEndpointForgotten RecordKind = "forgotten" // the record of an endpoint no longer counts
)

// Record is one entry of the write-ahead log, about a message or about an endpoint. Times are Unix
// microseconds.
type Record struct {
	Kind     RecordKind `json:"kind"`
	ID       string     `json:"id"`
	Class    string     `json:"class,omitempty"`
	Tenant   string     `json:"tenant,omitempty"`
	Key      string     `json:"key,omitempty"`
	Dest     int        `json:"dest,omitempty"`
	Deadline int64      `json:"deadline,omitempty"`
	// For RecordAttempt: the time of the attempt and the zone of its endpoint.
	At   int64 `json:"at,omitempty"`
	Zone int   `json:"zone,omitempty"`
	// For RecordOutcome: whether the attempt may have run, and whether it never left the relay,
	// so that it does not count as an attempt.
	MayHaveRun bool `json:"ran,omitempty"`
	NotCounted bool `json:"void,omitempty"`
	// For RecordEnding: the contents of the notice.
	Notice  string `json:"notice,omitempty"`
	RetryMS int64  `json:"retry_ms,omitempty"`
	// For RecordAccepted after a compaction: the state of the message, which combines its
	// earlier records. The fields hold the number of attempts, the time and zone of the first
	// attempt that may have run, and the time and zone of the attempt that has no outcome yet.
	Attempts           int   `json:"tries,omitempty"`
	FirstUncertainAt   int64 `json:"doubt,omitempty"`
	FirstUncertainZone int   `json:"doubt_in,omitempty"`
	OpenAttemptAt      int64 `json:"out,omitempty"`
	OpenAttemptZone    int   `json:"out_in,omitempty"`

	// For RecordEndpoint: the only address, host:port, at which the endpoint may be called, or empty
	// for none; and the revision of the list that said so. ID is the endpoint's, also for
	// RecordEndpointForgotten.
	Address  string `json:"address,omitempty"`
	Revision int64  `json:"revision,omitempty"`

	// For RecordAccepted: the body of the message. It is written after the JSON, as it is.
	Body []byte `json:"-"`
}

// Apply updates the record of an accepted message with a later record of the same message.
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

// ResolveOpenAttempt marks an attempt without an outcome as one that may have run.
func (r *Record) ResolveOpenAttempt() {
	if r.OpenAttemptAt != 0 {
		r.Apply(&Record{Kind: RecordOutcome, MayHaveRun: true})
	}
}

// Notice reports to the platform that a message ended undelivered.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms,omitempty"`
}

// Outcomes of undelivered messages, in notices and records.
const (
	NoticeGivenUp    = "given_up"
	NoticeHandedBack = "handed_back"
)
