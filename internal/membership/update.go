package membership

// Update is an update from a source: its complete list, or changes to it.
type Update struct {
	Source        int      `json:"-"`     // index into Settings.Sources; set by the caller of Apply
	Epoch         string   `json:"epoch"` // identifies the sequence of revisions: that of one address or cluster
	Revision      int64    `json:"revision"`
	Complete      bool     `json:"whole,omitempty"`   // Members are the source's whole list; else they are changes
	Resync        bool     `json:"anew,omitempty"`    // a complete list that was read after the view requested a resync
	Members       []Member `json:"members,omitempty"` // in a change, also the removed ones
	UnreadableIDs []string `json:"spoilt,omitempty"`  // entries that cannot be decoded; they keep their last state
	DrainedIDs    []string `json:"drained,omitempty"` // ids that drain and that Members does not list
}

// Verdict is the result of applying an update.
type Verdict uint8

// Verdicts.
const (
	Accepted       Verdict = iota + 1
	Outdated               // not newer than the known revision, or of a former epoch
	ResyncRequired         // a change to a list that is not known: the complete list is needed
	RemovalsHeld           // accepted, except for removals that a resync has to confirm
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	return [...]string{"none", "believed", "old", "needed", "held"}[min(v, RemovalsHeld)]
}

// Change is the new state of an endpoint in the view.
type Change struct {
	Member
	DecidedBy int // index of the source that decided the phase; -1 for none
}

// Warning is a message to the operator.
type Warning struct {
	Source int
	Text   string
	ID     string // of the endpoint that it concerns; empty for none
	Count  int    // number of held removals, if it is about these
}
