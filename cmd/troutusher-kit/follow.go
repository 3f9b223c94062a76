package main

import (
	"context"
	"fmt"
	"hash/maphash"
	"io"
	"os"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/source/etcd/follow"
)

const followAbout = `Follows the prefix of etcd that the operator's file names ($TROUTUSHER_OPERATOR,
table [etcd]) and writes what it says, one JSON object a line. A relay starts this
by itself; by hand it shows what a relay would hear. It ends with its input.`

// runFollow runs "troutusher follow", the helper process that a relay starts where etcd is
// configured.
func runFollow(args []string, out, errs io.Writer) int {
	set := newFlagSet("follow", "", followAbout, out, errs)
	if _, code, done := parseFlags(set, args, 0); done {
		return code
	}
	_, options, err := etcdOptions()
	if err != nil {
		return fail(errs, "follow", err, exitConfig)
	}
	options.Seed = maphash.Bytes(maphash.MakeSeed(), nil) // so that relays do not poll in step
	if err := follow.Serve(context.Background(), options, os.Stdin, out); err != nil {
		return fail(errs, "follow", err, exitFailed)
	}
	return 0
}

// etcdOptions reads the operator's file that the environment names, and returns its table
// for etcd and what it says of the cluster.
func etcdOptions() (*operatorconfig.Etcd, follow.Options, error) {
	file, err := operatorconfig.Load(os.Getenv)
	if err == nil && file == nil {
		err = fmt.Errorf("%s: not set", operatorconfig.EnvVar)
	}
	if err != nil {
		return nil, follow.Options{}, err
	}
	options, err := follow.FromOperator(&file.Etcd)
	return &file.Etcd, options, err
}
