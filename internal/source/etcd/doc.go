// Package etcd decides how a prefix of etcd is followed: what is read, from which revision
// a watch goes on, when one that is silent is given up, and what is handed to the view of
// the endpoints.
//
// It follows the published v3 API (etcd.io/docs, "API reference" and "API guarantees"): a
// range is read at one revision, a watch begins behind it, events come in the order of
// their revisions and none is left out unless the watch is cancelled as compacted. The
// package owns resumption, silence, compaction, the choice of a member, tokens and backoff.
//
// It must never open a socket, read a clock, or merge what etcd says with anything else.
package etcd
