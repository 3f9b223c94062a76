package follow

import (
	"context"
	"errors"
	"fmt"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

// Dial connects to the first member that answers, for calls made by hand. The context
// that it returns carries the token, where one is asked for.
func Dial(ctx context.Context, o Options) (*grpc.ClientConn, context.Context, error) {
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS)
	}
	var all []error
	for _, at := range o.Endpoints {
		conn, err := grpc.NewClient("passthrough:///"+at, grpc.WithTransportCredentials(creds), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)))
		if err != nil {
			return nil, nil, fmt.Errorf("etcd: endpoint %q: %w", at, err)
		}
		with, err := authenticate(ctx, conn, &o)
		if err == nil {
			return conn, with, nil
		}
		conn.Close()
		all = append(all, fmt.Errorf("%s: %w", at, err))
	}
	return nil, nil, errors.Join(all...)
}

// authenticate makes sure that a member answers, and has a token from it.
func authenticate(ctx context.Context, conn *grpc.ClientConn, o *Options) (context.Context, error) {
	if o.User != "" {
		r, err := etcdserverpb.NewAuthClient(conn).Authenticate(ctx, &etcdserverpb.AuthenticateRequest{Name: o.User, Password: o.Password})
		if err != nil {
			return nil, err
		}
		ctx = metadata.AppendToOutgoingContext(ctx, rpctypes.TokenFieldNameGRPC, r.Token)
	}
	_, err := etcdserverpb.NewKVClient(conn).Range(ctx, &etcdserverpb.RangeRequest{Key: []byte(o.Settings.Prefix), CountOnly: true})
	return ctx, err
}
