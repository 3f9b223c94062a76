package etcd

import (
	"cmp"
	"context"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Range serves the call that reads the keys of a range.
func (m *Member) Range(ctx context.Context, request *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	return m.rangeLocked(request)
}

// rangeLocked reads the keys of a range. The caller holds mu.
func (m *Member) rangeLocked(request *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	versions, count, err := m.cluster.store.Range(
		string(request.Key), string(request.RangeEnd), request.Revision, request.Limit)
	if err != nil {
		return nil, statusError(err)
	}
	more := count > int64(len(versions))
	response := &etcdserverpb.RangeResponse{Header: m.header(), Count: count, More: more}
	for _, version := range versions {
		response.Kvs = append(response.Kvs, keyValue(version))
	}
	return response, nil
}

// Put serves the call that writes a key.
func (m *Member) Put(ctx context.Context, request *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	if _, err := m.cluster.store.Apply(putOp(request)); err != nil {
		return nil, statusError(err)
	}
	m.cluster.notifyChange()
	return &etcdserverpb.PutResponse{Header: m.header()}, nil
}

// DeleteRange serves the call that deletes the keys of a range.
func (m *Member) DeleteRange(
	ctx context.Context, request *etcdserverpb.DeleteRangeRequest,
) (*etcdserverpb.DeleteRangeResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	deleted, err := m.cluster.store.Apply(deleteOp(request))
	if err != nil {
		return nil, statusError(err)
	}
	m.cluster.notifyChange()
	return &etcdserverpb.DeleteRangeResponse{Header: m.header(), Deleted: deleted}, nil
}

func putOp(request *etcdserverpb.PutRequest) Op {
	return Op{Key: string(request.Key), Value: string(request.Value), Lease: request.Lease}
}

func deleteOp(request *etcdserverpb.DeleteRangeRequest) Op {
	return Op{Key: string(request.Key), End: string(request.RangeEnd), Delete: true}
}

// Txn serves a transaction: it executes the list Success if all conditions hold and the list
// Failure otherwise, at one revision.
func (m *Member) Txn(ctx context.Context, request *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	succeeded := true
	for _, condition := range request.Compare {
		succeeded = succeeded && m.compareHolds(condition)
	}
	operations := request.Success
	if !succeeded {
		operations = request.Failure
	}
	response := &etcdserverpb.TxnResponse{Succeeded: succeeded}
	var changes []Op
	for _, operation := range operations {
		change, result, err := m.runOperation(operation)
		if err != nil {
			return nil, err
		}
		if change != nil {
			changes = append(changes, *change)
		}
		response.Responses = append(response.Responses, result)
	}
	if len(changes) > 0 {
		if _, err := m.cluster.store.Apply(changes...); err != nil {
			return nil, statusError(err)
		}
		m.cluster.notifyChange()
	}
	response.Header = m.header()
	return response, nil
}

// runOperation returns the response of an operation in a transaction, and the change that
// the caller has to apply for it; nil for a read. The caller holds mu.
func (m *Member) runOperation(operation *etcdserverpb.RequestOp) (*Op, *etcdserverpb.ResponseOp, error) {
	switch {
	case operation.GetRequestPut() != nil:
		change := putOp(operation.GetRequestPut())
		return &change, &etcdserverpb.ResponseOp{
			Response: &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: &etcdserverpb.PutResponse{}},
		}, nil
	case operation.GetRequestDeleteRange() != nil:
		change := deleteOp(operation.GetRequestDeleteRange())
		return &change, &etcdserverpb.ResponseOp{
			Response: &etcdserverpb.ResponseOp_ResponseDeleteRange{
				ResponseDeleteRange: &etcdserverpb.DeleteRangeResponse{},
			},
		}, nil
	case operation.GetRequestRange() != nil:
		read, err := m.rangeLocked(operation.GetRequestRange())
		if err != nil {
			return nil, nil, err
		}
		return nil, &etcdserverpb.ResponseOp{
			Response: &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: read},
		}, nil
	}
	return nil, nil, status.Error(codes.Unimplemented, "etcd emulator: operation not supported in a transaction")
}

// compareHolds reports whether a condition of a transaction is met. The caller holds mu.
func (m *Member) compareHolds(condition *etcdserverpb.Compare) bool {
	version, _ := m.cluster.store.getAt(string(condition.Key), m.cluster.store.Revision())
	order := 0
	switch condition.Target {
	case etcdserverpb.Compare_VERSION:
		order = cmp.Compare(version.Version, condition.GetVersion())
	case etcdserverpb.Compare_CREATE:
		order = cmp.Compare(version.CreateRevision, condition.GetCreateRevision())
	case etcdserverpb.Compare_MOD:
		order = cmp.Compare(version.ModRevision, condition.GetModRevision())
	case etcdserverpb.Compare_VALUE:
		order = cmp.Compare(version.Value, string(condition.GetValue()))
	}
	switch condition.Result {
	case etcdserverpb.Compare_GREATER:
		return order > 0
	case etcdserverpb.Compare_LESS:
		return order < 0
	case etcdserverpb.Compare_NOT_EQUAL:
		return order != 0
	}
	return order == 0
}

// Compact serves the call that drops old revisions.
func (m *Member) Compact(
	ctx context.Context, request *etcdserverpb.CompactionRequest,
) (*etcdserverpb.CompactionResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	if err := m.cluster.store.Compact(request.Revision); err != nil {
		return nil, statusError(err)
	}
	return &etcdserverpb.CompactionResponse{Header: m.header()}, nil
}
