// Package publish writes endpoints, rates and drains under a prefix of an etcd cluster, for
// the commands of operators. It changes a key only if the key is still as it was read before.
// If two operators change the same key at the same time, the second one gets ErrConflict
// instead of overwriting the change of the first.
//
// The package checks each value before it writes it, so that relays can decode all of them.
package publish

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/etcd/api/v3/etcdserverpb"

	"troutusher/internal/source/etcd"
)

// List is the complete list of an operator's file: endpoints by id, and partners (the operators
// of destinations), with their rates, by the destination's number.
type List struct {
	Endpoints map[string]etcd.Endpoint `json:"endpoints"`
	Partners  map[string]etcd.Partner  `json:"partners"`
}

// ErrConflict reports that a key was changed by somebody else after it was read.
var ErrConflict = errors.New("changed by somebody else since it was read: check what is published and retry")

// ErrTooManyRemovals reports that a list would remove over half of the published endpoints.
var ErrTooManyRemovals = errors.New("list removes over half of the published endpoints; use --all to allow this")

// Publisher changes the keys under one prefix.
type Publisher struct {
	KV     etcdserverpb.KVClient
	Prefix string
}

// Result lists the changes that were made or, next to an error, those that were intended.
type Result struct {
	Put, Deleted []string // keys, without the prefix
	Revision     int64    // revision of the last change; 0 if nothing was changed
}

// Drain puts the drain keys of endpoints, or deletes them if off is true. It makes up to
// maxChangesPerTxn changes at one revision. It skips endpoints whose drain is already in the
// requested state.
func (p *Publisher) Drain(ctx context.Context, off bool, ids ...string) (*Result, error) {
	drains, err := p.read(ctx, etcd.DrainsFolder)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(etcd.Drain{Version: 1})
	if err != nil {
		return nil, err
	}
	var changes []change
	for _, id := range sortedIDs(ids) {
		if err := etcd.CheckID(id); err != nil {
			return nil, err
		}
		revision := drains[id].modRevision
		key := etcd.Key(p.Prefix, etcd.DrainsFolder, id)
		switch {
		case off && revision > 0:
			changes = append(changes, change{key, "", revision})
		case !off && revision == 0:
			changes = append(changes, change{key, string(text), 0})
		}
	}
	return p.apply(ctx, changes)
}

// Remove deletes endpoints together with their drains.
func (p *Publisher) Remove(ctx context.Context, ids ...string) (*Result, error) {
	endpoints, drains, err := p.readEndpointsAndDrains(ctx)
	if err != nil {
		return nil, err
	}
	var changes []change
	for _, id := range sortedIDs(ids) {
		revision := endpoints[id].modRevision
		if revision == 0 {
			return nil, fmt.Errorf("cannot remove endpoint %.80q: it is not published", id)
		}
		changes = append(changes, change{etcd.Key(p.Prefix, etcd.EndpointsFolder, id), "", revision})
		if drain := drains[id].modRevision; drain > 0 {
			changes = append(changes, change{etcd.Key(p.Prefix, etcd.DrainsFolder, id), "", drain})
		}
	}
	return p.apply(ctx, changes)
}

func sortedIDs(ids []string) []string {
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Publish makes the published endpoints and rates equal to a list, and leaves drains as they
// are. If it would remove over half of the endpoints, it fails with ErrTooManyRemovals,
// unless allowMostRemoved is true.
func (p *Publisher) Publish(ctx context.Context, l *List, allowMostRemoved bool) (*Result, error) {
	endpoints, err := encodeEndpoints(l.Endpoints)
	if err != nil {
		return nil, err
	}
	partners, err := encodePartners(l.Partners)
	if err != nil {
		return nil, err
	}
	changes, _, err := p.diffFolder(ctx, etcd.PartnersFolder, partners)
	if err != nil {
		return nil, err
	}
	more, removals, err := p.diffFolder(ctx, etcd.EndpointsFolder, endpoints)
	if err != nil {
		return nil, err
	}
	published := removals.published
	if !allowMostRemoved && 2*removals.count > published {
		return nil, fmt.Errorf("%w (%d of %d removed)", ErrTooManyRemovals, removals.count, published)
	}
	changes = append(changes, more...)
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(compareBool(a.isDelete(), b.isDelete()), strings.Compare(a.key, b.key)) // puts come first
	})
	return p.apply(ctx, changes)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// encodeEndpoints encodes and validates the values of endpoint keys.
func encodeEndpoints(endpoints map[string]etcd.Endpoint) (map[string]string, error) {
	texts := map[string]string{}
	for id, e := range endpoints {
		e.Version = 1
		text, err := encodeValue(etcd.EndpointsFolder, id, e)
		if err != nil {
			return nil, err
		}
		texts[id] = text
	}
	return texts, nil
}

// encodePartners encodes and validates the values of partner keys.
func encodePartners(partners map[string]etcd.Partner) (map[string]string, error) {
	texts := map[string]string{}
	for dest, partner := range partners {
		partner.Version = 1
		text, err := encodeValue(etcd.PartnersFolder, dest, partner)
		if err != nil {
			return nil, err
		}
		texts[dest] = text
	}
	return texts, nil
}

func encodeValue(folder, name string, value any) (string, error) {
	text, err := json.Marshal(value)
	if err == nil {
		err = etcd.CheckValue(folder, name, text)
	}
	if err != nil {
		return "", fmt.Errorf("%s: %.80q: %w", folder, name, err)
	}
	return string(text), nil
}

// removalCount is the number of published keys of a folder and how many of them are to be
// removed.
type removalCount struct{ count, published int }

// diffFolder returns the changes after which a folder holds exactly the wanted values.
func (p *Publisher) diffFolder(
	ctx context.Context, folder string, want map[string]string,
) (changes []change, removals removalCount, err error) {
	published, err := p.read(ctx, folder)
	if err != nil {
		return nil, removals, err
	}
	removals.published = len(published)
	for name, v := range published {
		if want[name] == "" {
			changes = append(changes, change{etcd.Key(p.Prefix, folder, name), "", v.modRevision})
			removals.count++
		}
	}
	for name, text := range want {
		if v := published[name]; v.text != text {
			changes = append(changes, change{etcd.Key(p.Prefix, folder, name), text, v.modRevision})
		}
	}
	return changes, removals, nil
}
