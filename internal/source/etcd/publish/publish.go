// Package publish writes endpoints, rates and drains under a prefix of etcd, for
// operators. Each change is made only where what it replaces is still what was read
// before: two operators cannot undo each other without hearing of it.
//
// It must never write a value that a relay could not read.
package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.etcd.io/etcd/api/v3/etcdserverpb"

	"troutusher/internal/source/etcd"
)

const (
	maxTxnChanges = 100 // changes of one transaction; a cluster takes 128 as it is delivered
	pageSize      = 200
)

// List is what an operator's file says is there: all endpoints and rates.
type List struct {
	Endpoints map[string]etcd.Endpoint `json:"endpoints"`
	Partners  map[string]etcd.Partner  `json:"partners"`
}

// ErrConflict is a key that somebody else has changed since it was read.
var ErrConflict = errors.New("changed by somebody else since it was read: look again")

// ErrTooManyRemovals is a list that takes away most of what is there.
var ErrTooManyRemovals = errors.New("it takes away over half of the endpoints; say --all to do so")

// Publisher is one that is written to.
type Publisher struct {
	KV     etcdserverpb.KVClient
	Prefix string
}

// value is a key as it is there.
type value struct {
	text        string
	modRevision int64 // of its last change; 0 where it is not there
}

// read reads all keys of a folder, at one revision.
func (p *Publisher) read(ctx context.Context, folder string) (map[string]value, error) {
	all := map[string]value{}
	begin := etcd.FolderPrefix(p.Prefix, folder)
	end := etcd.RangeEnd(begin)
	for from, at := begin, int64(0); ; {
		r, err := p.KV.Range(ctx, &etcdserverpb.RangeRequest{Key: []byte(from), RangeEnd: []byte(end), Revision: at, Limit: pageSize})
		if err != nil {
			return nil, err
		}
		at = r.Header.Revision
		for _, kv := range r.Kvs {
			all[strings.TrimPrefix(string(kv.Key), begin)] = value{string(kv.Value), kv.ModRevision}
		}
		if !r.More || len(r.Kvs) == 0 {
			return all, nil
		}
		from = string(r.Kvs[len(r.Kvs)-1].Key) + "\x00"
	}
}

// change is one key that is to be put, or deleted where text is empty.
type change struct {
	key, text        string
	expectedRevision int64
}

// commit makes changes, so many at one revision, each only where its key is as it
// was read.
func (p *Publisher) commit(ctx context.Context, all []change) (rev int64, err error) {
	for part := range slices.Chunk(all, maxTxnChanges) {
		t := &etcdserverpb.TxnRequest{}
		for _, c := range part {
			t.Compare = append(t.Compare, &etcdserverpb.Compare{Key: []byte(c.key), Target: etcdserverpb.Compare_MOD, Result: etcdserverpb.Compare_EQUAL,
				TargetUnion: &etcdserverpb.Compare_ModRevision{ModRevision: c.expectedRevision}})
			op := &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestPut{RequestPut: &etcdserverpb.PutRequest{Key: []byte(c.key), Value: []byte(c.text)}}}
			if c.text == "" {
				op = &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestDeleteRange{RequestDeleteRange: &etcdserverpb.DeleteRangeRequest{Key: []byte(c.key)}}}
			}
			t.Success = append(t.Success, op)
		}
		r, err := p.KV.Txn(ctx, t)
		if err != nil {
			return rev, err
		}
		if !r.Succeeded {
			return rev, ErrConflict
		}
		rev = r.Header.Revision
	}
	return rev, nil
}

// Result says what was changed.
type Result struct {
	Put, Deleted []string // keys under the prefix
	Revision     int64    // of the last change; 0 for none
}

func (p *Publisher) apply(ctx context.Context, all []change) (*Result, error) {
	d := &Result{}
	for _, c := range all {
		name := strings.TrimPrefix(c.key, strings.TrimSuffix(p.Prefix, "/")+"/")
		if c.text == "" {
			d.Deleted = append(d.Deleted, name)
		} else {
			d.Put = append(d.Put, name)
		}
	}
	var err error
	d.Revision, err = p.commit(ctx, all)
	return d, err
}

// Drain has endpoints drain, all at one revision where they are few, or ends that.
// What is so already is left as it is.
func (p *Publisher) Drain(ctx context.Context, off bool, ids ...string) (*Result, error) {
	have, err := p.read(ctx, "drains")
	if err != nil {
		return nil, err
	}
	text, _ := json.Marshal(etcd.Drain{Version: 1})
	var all []change
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if err := etcd.CheckID(id); err != nil {
			return nil, err
		}
		was := have[id].modRevision
		switch {
		case off && was > 0:
			all = append(all, change{etcd.Key(p.Prefix, "drains", id), "", was})
		case !off && was == 0:
			all = append(all, change{etcd.Key(p.Prefix, "drains", id), string(text), 0})
		}
	}
	return p.apply(ctx, all)
}

// Remove takes endpoints away, with their drains.
func (p *Publisher) Remove(ctx context.Context, ids ...string) (*Result, error) {
	have, err := p.read(ctx, "endpoints")
	if err != nil {
		return nil, err
	}
	drains, err := p.read(ctx, "drains")
	if err != nil {
		return nil, err
	}
	var all []change
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if have[id].modRevision == 0 {
			return nil, fmt.Errorf("%.80q is not published", id)
		}
		all = append(all, change{etcd.Key(p.Prefix, "endpoints", id), "", have[id].modRevision})
		if d := drains[id]; d.modRevision > 0 {
			all = append(all, change{etcd.Key(p.Prefix, "drains", id), "", d.modRevision})
		}
	}
	return p.apply(ctx, all)
}

// Publish makes what is there what a list says: endpoints and rates, not drains.
// Taking away most of the endpoints wants a word of its own.
func (p *Publisher) Publish(ctx context.Context, l *List, most bool) (*Result, error) {
	want := map[string]map[string]string{"endpoints": {}, "partners": {}}
	put := func(folder, name string, v any) error {
		text, err := json.Marshal(v)
		if err == nil {
			err = etcd.CheckValue(folder, name, text)
		}
		want[folder][name] = string(text)
		return err
	}
	for id, e := range l.Endpoints {
		e.Version = 1
		if err := put("endpoints", id, e); err != nil {
			return nil, fmt.Errorf("endpoints: %.80q: %w", id, err)
		}
	}
	for dest, x := range l.Partners {
		x.Version = 1
		if err := put("partners", dest, x); err != nil {
			return nil, fmt.Errorf("partners: %.80q: %w", dest, err)
		}
	}
	var all []change
	for _, folder := range []string{"partners", "endpoints"} {
		have, err := p.read(ctx, folder)
		if err != nil {
			return nil, err
		}
		gone := 0
		for name, v := range have {
			if want[folder][name] == "" {
				all = append(all, change{etcd.Key(p.Prefix, folder, name), "", v.modRevision})
				gone++
			}
		}
		if folder == "endpoints" && !most && 2*gone > len(have) {
			return nil, fmt.Errorf("%w (%d of %d)", ErrTooManyRemovals, gone, len(have))
		}
		for name, text := range want[folder] {
			if have[name].text != text {
				all = append(all, change{etcd.Key(p.Prefix, folder, name), text, have[name].modRevision})
			}
		}
	}
	// What comes comes before what goes.
	slices.SortFunc(all, func(a, b change) int {
		if (a.text == "") != (b.text == "") {
			if a.text == "" {
				return 1
			}
			return -1
		}
		return strings.Compare(a.key, b.key)
	})
	return p.apply(ctx, all)
}

// PublishedEndpoint is one endpoint as it is published.
type PublishedEndpoint struct {
	ID       string
	Endpoint etcd.Endpoint
	Draining bool
	Revision int64 // of its own value's last change
	Err      error // it cannot be read
}

// Show lists what is published, by id.
func (p *Publisher) Show(ctx context.Context) ([]PublishedEndpoint, error) {
	have, err := p.read(ctx, "endpoints")
	if err != nil {
		return nil, err
	}
	drains, err := p.read(ctx, "drains")
	if err != nil {
		return nil, err
	}
	var lines []PublishedEndpoint
	for id, v := range have {
		l := PublishedEndpoint{ID: id, Draining: drains[id].modRevision > 0, Revision: v.modRevision}
		l.Endpoint, l.Err = etcd.DecodeEndpoint([]byte(v.text))
		lines = append(lines, l)
	}
	slices.SortFunc(lines, func(a, b PublishedEndpoint) int { return strings.Compare(a.ID, b.ID) })
	return lines, nil
}

// Text is a line for a terminal.
func (l *PublishedEndpoint) Text() string {
	if l.Err != nil {
		return l.ID + "\tcannot be read: " + l.Err.Error()
	}
	phase := l.Endpoint.Phase
	if phase == "" {
		phase = "up"
	}
	if l.Draining {
		phase += ", drained"
	}
	return strings.Join([]string{l.ID, l.Endpoint.HostPort, strconv.Itoa(l.Endpoint.Dest), phase, strconv.FormatInt(l.Revision, 10)}, "\t")
}
