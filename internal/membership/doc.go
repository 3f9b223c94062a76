// Package membership merges what several sources (a service registry, etcd) say of the
// endpoints into one view. Each source hands in updates that carry a revision of its
// own; what leaves the package is what changed in the view.
//
// It owns the one rule by which sources that disagree are read:
//
//   - The order of the sources is their precedence. An endpoint's address, locality and
//     flavor are those of the first source that lists it and is fresh; its rate is that
//     of the first fresh source that states one.
//   - Drains and removals win at once, whichever source states them first, until the
//     same source states otherwise in a later update. No other source can revoke them.
//   - A silent source stays listed: its endpoints remain as last known. Only its
//     precedence over fresh sources is gone.
//   - An update that removes more than a stated share of what its source had listed is
//     not believed as far as that goes until a complete list that was read after a
//     resync request confirms it. Drains are always believed, and so is the removal of
//     an endpoint that was draining.
//   - An endpoint with the same id is the same endpoint, whichever source names it; so
//     is one at the same address for the same destination, under the id given by the
//     source that comes first. Within one source an address under a new id is a new
//     endpoint.
//
// It must never do I/O, look at a clock, or know who calls endpoints. The view depends
// on what each source stated, in that source's order, and on nothing else: not on which
// source was heard first.
package membership
