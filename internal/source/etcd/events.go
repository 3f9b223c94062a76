package etcd

import "troutusher/internal/membership"

// CallID names a call that the machine has asked for. There is one at a time.
type CallID uint64

// Event is something that happened to a call: Authenticated, PageRead, WatchOpened,
// Changed, Progress or CallFailed. What happens to a call that is over is ignored.
type Event interface{ callID() CallID }

// Authenticated says that a token was received, which the driver keeps.
type Authenticated struct{ Call CallID }

// PageRead is a page of the keys under the prefix.
type PageRead struct {
	Call     CallID
	Cluster  uint64 // its id
	Revision int64  // of the cluster as it answered
	KVs      []KV
	More     bool // there are further keys
}

// WatchOpened says that a watch is open.
type WatchOpened struct {
	Call     CallID
	Cluster  uint64
	Revision int64 // that the member has reached
}

// Changed is what a watch reports.
type Changed struct {
	Call         CallID
	Cluster      uint64
	Revision     int64 // that the member has reached
	KVs          []KV
	LastRevision int64 // of the last of them
	Fragment     bool  // more of the same report follows
}

// Progress says that a watch has reported all up to a revision.
type Progress struct {
	Call     CallID
	Cluster  uint64
	Revision int64
}

// CallFailed says that a call is over.
type CallFailed struct {
	Call     CallID
	Reason   FailureReason
	Revision int64  // of ReasonCompacted: the first that is kept
	Detail   string // for the log
}

func (e *Authenticated) callID() CallID { return e.Call }
func (e *PageRead) callID() CallID      { return e.Call }
func (e *WatchOpened) callID() CallID   { return e.Call }
func (e *Changed) callID() CallID       { return e.Call }
func (e *Progress) callID() CallID      { return e.Call }
func (e *CallFailed) callID() CallID    { return e.Call }

// FailureReason is why a call failed.
type FailureReason uint8

// Reasons.
const (
	ReasonUnavailable     FailureReason = iota + 1 // the member is not there, has no leader, or is overloaded
	ReasonCompacted                                // the revision is no longer kept
	ReasonUnauthenticated                          // the token is not valid any more
	ReasonRejected                                 // the request itself: another member would say the same
)

// String is the reason as it stands in logs.
func (r FailureReason) String() string {
	return [...]string{"none", "unavailable", "compacted", "denied", "refused"}[min(r, ReasonRejected)]
}

// Action is something that the driver has to do: Authenticate, ReadPage, OpenWatch,
// RequestProgress, CancelCall, EmitUpdate, EmitHeartbeat or LogMessage.
type Action interface{ isAction() }

// Authenticate asks a member for a token.
type Authenticate struct {
	Call   CallID
	Member int
}

// ReadPage reads keys from Key up to, and without, RangeEnd.
type ReadPage struct {
	Call          CallID
	Member        int
	Key, RangeEnd string
	Revision      int64 // 0 for the newest, by a linearizable read
	Limit         int64 // keys
}

// OpenWatch opens a watch on the keys from Key up to RangeEnd, in fragments, of a member
// that has a leader.
type OpenWatch struct {
	Call          CallID
	Member        int
	Key, RangeEnd string
	FromRevision  int64
}

// RequestProgress asks a watch for its progress.
type RequestProgress struct{ Call CallID }

// CancelCall gives a call up.
type CancelCall struct{ Call CallID }

// EmitUpdate hands an update to the view.
type EmitUpdate struct{ Update *membership.Update }

// EmitHeartbeat tells the view that etcd is alive and has nothing new.
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
