// Package membership merges the endpoint lists of several sources (a service registry, etcd)
// into one view. Its input are the updates of each source, numbered by that source's revisions;
// its output are the changes of the view.
//
// These rules resolve differences between the sources:
//
//   - The order of the sources is their precedence. An endpoint's address, locality and
//     flavor come from the first fresh source that lists it, its rate from the first fresh
//     source that states one. A source is fresh if it was heard recently.
//   - Drains and removals apply at once, whichever source states them, until the same source
//     states otherwise in a later update. No other source can revoke them.
//   - The endpoints of a silent source remain in the view as last known. A silent source only
//     loses its precedence over fresh sources.
//   - Within a time window, a source can remove only a limited share of its endpoints. Removals
//     beyond that are held: the endpoints stay until a complete list that was read after a resync
//     request confirms the removals.
//     Drains are not limited, and neither are removals of endpoints that were draining.
//   - Entries with the same id are the same endpoint, whichever source lists them. So are
//     entries of different sources with the same address and destination; the endpoint then has
//     the id that the first of these sources gives it. Within one source, a new id at a known
//     address is a new endpoint.
//
// The package does no I/O, reads no clock, and doesn't know who calls endpoints. The view
// depends only on the sequence of updates of each source, not on the order in which the
// sources were heard.
package membership
