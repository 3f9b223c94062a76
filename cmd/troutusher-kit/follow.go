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

// runFollow runs "troutusher follow". A relay starts it as a child process if etcd is
// configured.
func runFollow(args []string, stdout, stderr io.Writer) int {
	set := newFlagSet("follow", "", followAbout, stdout, stderr)
	if _, code, done := parseFlags(set, args, 0); done {
		return code
	}
	_, options, err := etcdOptions()
	if err != nil {
		return fail(stderr, "follow", err, exitConfig)
	}
	options.Seed = maphash.Bytes(maphash.MakeSeed(), nil) // random, so that relays do not poll at the same times
	if err := follow.Serve(context.Background(), options, os.Stdin, stdout); err != nil {
		return fail(stderr, "follow", err, exitFailed)
	}
	return 0
}

// etcdOptions loads the operator's file that TROUTUSHER_OPERATOR names, and returns its table
// [etcd] and the options of a connection to the cluster that the table describes.
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
