// Package publish writes endpoints, rates and drains under a prefix of etcd, for
// operators. Each change is made only where what it replaces is still what was read
// before: two operators cannot undo each other without hearing of it.
//
// It must never write a value that a relay could not decode.
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

// List is what an operator's file says is there: all endpoints and rates, by id and by
// destination.
type List struct {
	Endpoints map[string]etcd.Endpoint `json:"endpoints"`
	Partners  map[string]etcd.Partner  `json:"partners"`
}

// ErrConflict is a key that somebody else has changed since it was read.
var ErrConflict = errors.New("changed by somebody else since it was read: look again")

// ErrTooManyRemovals is a list that takes away most of what is there.
var ErrTooManyRemovals = errors.New("it takes away over half of the endpoints; say --all to do so")

// Publisher writes under one prefix.
type Publisher struct {
	KV     etcdserverpb.KVClient
	Prefix string
}

// Result says what was changed.
type Result struct {
	Put, Deleted []string // keys under the prefix
	Revision     int64    // of the last change; 0 for none
}

// Drain has endpoints drain, all at one revision where they are few, or ends that with
// off. What is so already is left as it is.
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

// Remove takes endpoints away, with their drains.
func (p *Publisher) Remove(ctx context.Context, ids ...string) (*Result, error) {
	endpoints, drains, err := p.readEndpointsAndDrains(ctx)
	if err != nil {
		return nil, err
	}
	var changes []change
	for _, id := range sortedIDs(ids) {
		revision := endpoints[id].modRevision
		if revision == 0 {
			return nil, fmt.Errorf("%.80q is not published", id)
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

// Publish makes what is there what a list says: endpoints and rates, not drains. Without
// most it fails with ErrTooManyRemovals where it would remove over half of the endpoints.
func (p *Publisher) Publish(ctx context.Context, l *List, most bool) (*Result, error) {
	endpoints, err := encodeEndpoints(l.Endpoints)
	if err != nil {
		return nil, err
	}
	partners, err := encodePartners(l.Partners)
	if err != nil {
		return nil, err
	}
	changes, _, err := p.compare(ctx, etcd.PartnersFolder, partners)
	if err != nil {
		return nil, err
	}
	more, removals, err := p.compare(ctx, etcd.EndpointsFolder, endpoints)
	if err != nil {
		return nil, err
	}
	published := removals.published
	if !most && 2*removals.count > published {
		return nil, fmt.Errorf("%w (%d of %d)", ErrTooManyRemovals, removals.count, published)
	}
	changes = append(changes, more...)
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(compareBool(a.deletes(), b.deletes()), strings.Compare(a.key, b.key)) // puts come first
	})
	return p.apply(ctx, changes)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// encodeEndpoints encodes and checks the values of endpoints.
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

// encodePartners encodes and checks the values of destinations.
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

// removalCount is how many of the published keys of a folder are to be removed.
type removalCount struct{ count, published int }

// compare returns the changes by which a folder holds what is wanted, and nothing else.
func (p *Publisher) compare(
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
