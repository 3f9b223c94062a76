package follow

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

const (
	maxResponseBytes = 64 << 20
	minRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff = 250 * time.Millisecond // reconnects to a restarted member within a drain's grace period
	connectTimeout   = time.Second
)

// newConn returns a connection to one member, over TLS unless config is nil.
func newConn(endpoint string, config *tls.Config, more ...grpc.DialOption) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if config != nil {
		creds = credentials.NewTLS(config)
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
	}, more...)
	conn, err := grpc.NewClient("passthrough:///"+endpoint, options...)
	if err != nil {
		return nil, fmt.Errorf("etcd: endpoint %q: %w", endpoint, err)
	}
	return conn, nil
}

// redialOptions returns options that make a broken connection reconnect soon.
func redialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: minRedialBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxRedialBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDisableServiceConfig(),
	}
}

// Dial connects to the first member that answers, for commands of an operator. The returned
// context is for calls on the connection; it carries a token if o names a user.
func Dial(ctx context.Context, o Options) (*grpc.ClientConn, context.Context, error) {
	var failures []error
	for _, endpoint := range o.Endpoints {
		conn, err := newConn(endpoint, o.TLS)
		if err != nil {
			return nil, nil, err
		}
		callCtx, err := authenticate(ctx, conn, &o)
		if err == nil {
			return conn, callCtx, nil
		}
		_ = conn.Close() // the error of the call is reported instead
		failures = append(failures, fmt.Errorf("%s: %w", endpoint, err))
	}
	return nil, nil, errors.Join(failures...)
}

// authenticate requests a token from a member if o names a user, and checks by a read that
// the member answers. It returns a context with the token.
func authenticate(ctx context.Context, conn *grpc.ClientConn, o *Options) (context.Context, error) {
	if o.User != "" {
		auth := etcdserverpb.NewAuthClient(conn)
		r, err := auth.Authenticate(ctx, &etcdserverpb.AuthenticateRequest{Name: o.User, Password: o.Password})
		if err != nil {
			return nil, err
		}
		ctx = metadata.AppendToOutgoingContext(ctx, rpctypes.TokenFieldNameGRPC, r.Token)
	}
	kv := etcdserverpb.NewKVClient(conn)
	_, err := kv.Range(ctx, &etcdserverpb.RangeRequest{Key: []byte(o.Settings.Prefix), CountOnly: true})
	return ctx, err
}
