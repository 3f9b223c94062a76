// Package handover is the protocol by which the work of one relay process moves to
// another (a hot restart): two state machines, one for the process that serves
// (Outgoing) and one for the process that starts (Incoming).
//
// It owns the moments at which ownership moves, and what each side does when the
// other one fails at any of them. It must never touch a socket, a file or a clock,
// or know of messages: subpackages link, transfer and statelock do the I/O, and
// package relay executes the actions.
//
// Ownership is a lock on a file of the state folder, which the system takes from a
// process that dies. Its holder alone may write the log, begin calls and send
// notices. The outgoing process, here called the predecessor, shares the lock once
// everything it has is in the log or has been sent. The incoming one, the
// successor, claims the work once it holds the lock, and does nothing before. So a
// predecessor that hears of its successor's end knows by the lock and the claim
// which of two things is true: the successor never began, and the predecessor goes
// on with what it still has in memory; or it may have begun, and the log alone
// counts.
package handover
