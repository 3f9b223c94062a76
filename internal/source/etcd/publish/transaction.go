package publish

import (
	"context"
	"slices"
	"strings"

	"go.etcd.io/etcd/api/v3/etcdserverpb"

	"troutusher/internal/source/etcd"
)

const (
	maxChangesPerTxn = 100 // etcd accepts 128 operations per transaction by default
	pageSize         = 200 // keys per range request
)

// value is the value of a key as it was read.
type value struct {
	text        string
	modRevision int64 // revision of the last change; 0 if there is no such key
}

// read reads all keys of a folder at one revision, and returns their values by name.
func (p *Publisher) read(ctx context.Context, folder string) (map[string]value, error) {
	values := map[string]value{}
	first := etcd.FolderPrefix(p.Prefix, folder)
	request := &etcdserverpb.RangeRequest{
		Key: []byte(first), RangeEnd: []byte(etcd.RangeEnd(first)), Limit: pageSize,
	}
	for {
		r, err := p.KV.Range(ctx, request)
		if err != nil {
			return nil, err
		}
		for _, kv := range r.Kvs {
			values[strings.TrimPrefix(string(kv.Key), first)] = value{string(kv.Value), kv.ModRevision}
		}
		if !r.More || len(r.Kvs) == 0 {
			return values, nil
		}
		request.Revision = r.Header.Revision
		request.Key = []byte(string(r.Kvs[len(r.Kvs)-1].Key) + "\x00")
	}
}

// readEndpointsAndDrains reads the folders of endpoints and of drains, in this order. The
// two reads may see different revisions.
func (p *Publisher) readEndpointsAndDrains(ctx context.Context) (endpoints, drains map[string]value, err error) {
	if endpoints, err = p.read(ctx, etcd.EndpointsFolder); err != nil {
		return nil, nil, err
	}
	drains, err = p.read(ctx, etcd.DrainsFolder)
	return endpoints, drains, err
}

// change puts a key, or deletes it if text is empty. It takes effect only if the revision of
// the key's last change is still expectedRevision; 0 means that the key does not exist.
type change struct {
	key, text        string
	expectedRevision int64
}

func (c *change) isDelete() bool { return c.text == "" }

// apply makes changes, in transactions of at most maxChangesPerTxn. Each transaction makes
// all its changes or none. If there are several and one fails, the earlier ones stay in
// effect.
func (p *Publisher) apply(ctx context.Context, changes []change) (*Result, error) {
	result := &Result{}
	for i := range changes {
		name := strings.TrimPrefix(changes[i].key, strings.TrimSuffix(p.Prefix, "/")+"/")
		if changes[i].isDelete() {
			result.Deleted = append(result.Deleted, name)
		} else {
			result.Put = append(result.Put, name)
		}
	}
	for part := range slices.Chunk(changes, maxChangesPerTxn) {
		r, err := p.KV.Txn(ctx, transaction(part))
		if err != nil {
			return result, err
		}
		if !r.Succeeded {
			return result, ErrConflict
		}
		result.Revision = r.Header.Revision
	}
	return result, nil
}

// transaction returns the request for a transaction that makes changes at one revision.
func transaction(changes []change) *etcdserverpb.TxnRequest {
	txn := &etcdserverpb.TxnRequest{}
	for i := range changes {
		c := &changes[i]
		txn.Compare = append(txn.Compare, &etcdserverpb.Compare{
			Key:         []byte(c.key),
			Target:      etcdserverpb.Compare_MOD,
			Result:      etcdserverpb.Compare_EQUAL,
			TargetUnion: &etcdserverpb.Compare_ModRevision{ModRevision: c.expectedRevision},
		})
		txn.Success = append(txn.Success, c.operation())
	}
	return txn
}

func (c *change) operation() *etcdserverpb.RequestOp {
	if c.isDelete() {
		request := &etcdserverpb.DeleteRangeRequest{Key: []byte(c.key)}
		return &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestDeleteRange{RequestDeleteRange: request}}
	}
	request := &etcdserverpb.PutRequest{Key: []byte(c.key), Value: []byte(c.text)}
	return &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestPut{RequestPut: request}}
}
