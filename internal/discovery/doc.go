// Package discovery is the client of the discovery agent on a relay's machine. A Watcher
// fetches the endpoint list, then watches for changes, and passes each list and change to its
// callback. A NoticeSender sends notices: reports to the platform that messages ended
// undelivered. Both can be moved to another address while they run.
//
// registry.Scheduler, not this package, decides when to call and whether to accept a list.
package discovery
