// Package discovery is the client of the discovery agent on a relay's machine. A Watcher
// follows the endpoint list: it fetches it, then watches for changes, and hands on each
// list and change. A NoticeSender reports how messages ended that were not delivered.
// Both can be moved to another address while they run.
//
// It must never decide when to call, or whether a list is believed: that is
// registry.Scheduler's.
package discovery
