// Package handover is the protocol by which one relay process hands over to another
// (a hot restart). It consists of two state machines: Outgoing for the process that
// serves, the predecessor, and Incoming for the process that starts, the successor.
//
// The state machines decide when ownership moves, and what each side does if the other
// fails at any moment. They use no socket, file or clock and know nothing of messages:
// subpackages link, transfer and statelock do the I/O, and package relay executes the
// actions.
//
// The owner is the process that holds a lock on a file in the state folder; the kernel
// releases the lock when its holder dies. Only the owner may write the write-ahead log,
// start calls and send notices. The predecessor shares the lock once all its state is
// in the write-ahead log or was sent. The successor claims ownership once it holds the
// lock, and does nothing before that. So if a predecessor loses its successor, the lock
// and the claim show how to continue. Without a claim the successor has done nothing,
// and the predecessor resumes with its state in memory. After a claim the successor may
// have begun to work, and only the write-ahead log is up to date.
package handover
