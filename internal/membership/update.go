package membership

// Update is what a source states: its complete list, or what changed in it.
type Update struct {
	Source        int      `json:"-"`     // index into Settings.Sources; set by who hands it in
	Epoch         string   `json:"epoch"` // what its revisions belong to: an address, a cluster
	Revision      int64    `json:"revision"`
	Complete      bool     `json:"whole,omitempty"`   // all that the source lists; else what changed
	Resync        bool     `json:"anew,omitempty"`    // a complete list that was read after the view requested that
	Members       []Member `json:"members,omitempty"` // in a change, removed ones among them
	UnreadableIDs []string `json:"spoilt,omitempty"`  // entries that cannot be decoded: these stay as they were
	DrainedIDs    []string `json:"drained,omitempty"` // entries that drain, and of which nothing else is stated
}

// Verdict is what became of an update.
type Verdict uint8

// Verdicts.
const (
	Accepted       Verdict = iota + 1
	Outdated               // no newer than what is known, or of an epoch that was left
	ResyncRequired         // a change of a list that is not known: the complete list is needed
	RemovalsHeld           // accepted, but for removals that have to be confirmed
)

// String is the verdict as it stands in logs.
func (v Verdict) String() string {
	return [...]string{"none", "believed", "old", "needed", "held"}[min(v, RemovalsHeld)]
}

// Change is a change of the view.
type Change struct {
	Member
	DecidedBy int // the source that decided the phase
}

// Warning is something that an operator should read.
type Warning struct {
	Source int
	Text   string
	ID     string // of the endpoint concerned; empty for none
	Count  int
}
