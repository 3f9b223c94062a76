package etcd

import "troutusher/internal/membership"

// CallID identifies a call that the machine has requested. One call at a time is open.
type CallID uint64

// Event is an event of a call: Authenticated, PageRead, WatchOpened, Changed, Progress or
// CallFailed. The machine ignores events of a call that is no longer open.
type Event interface{ callID() CallID }

// Authenticated reports that the driver has received a token. The driver stores the token.
type Authenticated struct{ Call CallID }

// PageRead is a page of the keys under the prefix.
type PageRead struct {
	Call     CallID
	Cluster  uint64 // cluster id
	Revision int64  // the cluster's latest revision at the time of the answer
	KVs      []KV
	More     bool // there are more keys after this page
}

// WatchOpened reports that a watch is open.
type WatchOpened struct {
	Call     CallID
	Cluster  uint64
	Revision int64 // the member's latest revision
}

// Changed is a report of changes on a watch, or a fragment of a report.
type Changed struct {
	Call         CallID
	Cluster      uint64
	Revision     int64 // the member's latest revision
	KVs          []KV
	LastRevision int64 // revision of the last change in KVs
	Fragment     bool  // further fragments of the same report follow
}

// Progress reports that a watch has reported all changes up to a revision.
type Progress struct {
	Call     CallID
	Cluster  uint64
	Revision int64
}

// CallFailed reports that a call, which may be a watch, has ended with an error.
type CallFailed struct {
	Call     CallID
	Reason   FailureReason
	Revision int64  // oldest revision that is kept; only set for ReasonCompacted
	Detail   string // for the log
}

func (e *Authenticated) callID() CallID { return e.Call }
func (e *PageRead) callID() CallID      { return e.Call }
func (e *WatchOpened) callID() CallID   { return e.Call }
func (e *Changed) callID() CallID       { return e.Call }
func (e *Progress) callID() CallID      { return e.Call }
func (e *CallFailed) callID() CallID    { return e.Call }

// FailureReason is the reason why a call failed.
type FailureReason uint8

// Reasons for the failure of a call.
const (
	ReasonUnavailable     FailureReason = iota + 1 // member unreachable, overloaded or without a leader
	ReasonCompacted                                // the requested revision has been compacted
	ReasonUnauthenticated                          // the token is no longer valid
	ReasonRejected                                 // invalid request: other members would reject it as well
)

// String returns the reason as written to the log.
func (r FailureReason) String() string {
	return [...]string{"none", "unavailable", "compacted", "denied", "refused"}[min(r, ReasonRejected)]
}

// Action is an instruction to the driver: Authenticate, ReadPage, OpenWatch,
// RequestProgress, CancelCall, EmitUpdate, EmitHeartbeat or LogMessage.
type Action interface{ isAction() }

// Authenticate requests a token from a member.
type Authenticate struct {
	Call   CallID
	Member int
}

// ReadPage reads at most Limit keys in the range from Key up to, but not including, RangeEnd.
type ReadPage struct {
	Call          CallID
	Member        int
	Key, RangeEnd string
	Revision      int64 // 0 for the latest, by a linearizable read
	Limit         int64 // maximum number of keys
}

// OpenWatch opens a watch on the keys from Key up to, but not including, RangeEnd. The watch
// accepts fragmented reports, and requires that the member has a leader.
type OpenWatch struct {
	Call          CallID
	Member        int
	Key, RangeEnd string
	FromRevision  int64
}

// RequestProgress requests a progress report on a watch.
type RequestProgress struct{ Call CallID }

// CancelCall cancels a call.
type CancelCall struct{ Call CallID }

// EmitUpdate passes an update to the membership view.
type EmitUpdate struct{ Update *membership.Update }

// EmitHeartbeat reports to the membership view that etcd answers and has no changes.
type EmitHeartbeat struct{}

// LogMessage writes a line to the log.
type LogMessage struct{ Text string }

func (*Authenticate) isAction()    {}
func (*ReadPage) isAction()        {}
func (*OpenWatch) isAction()       {}
func (*RequestProgress) isAction() {}
func (*CancelCall) isAction()      {}
func (*EmitUpdate) isAction()      {}
func (*EmitHeartbeat) isAction()   {}
func (*LogMessage) isAction()      {}
