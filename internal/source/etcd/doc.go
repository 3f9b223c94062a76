// Package etcd follows the keys under a prefix of an etcd cluster, as a deterministic state
// machine. The machine decides which keys to read, from which revision to resume a watch,
// when to abandon a silent watch, and which updates to pass to the membership view.
//
// It relies on the published v3 API (etcd.io/docs, "API reference" and "API guarantees"): a
// range is read at one revision, a watch starts at the revision after it, events arrive in
// the order of their revisions, and no event is left out unless the server cancels the watch
// because of a compaction. The package handles resumption, silent watches, compaction, the
// choice of a cluster member, authentication tokens and backoff.
//
// The package opens no socket and reads no clock; package follow does that for it. It does
// not merge the data of etcd with data of other sources; package membership does.
package etcd
