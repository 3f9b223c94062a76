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

// runFollow is the helper that a relay starts where etcd is configured.
func runFollow(args []string, out, errs io.Writer) int {
	f := flags("follow", "", followAbout, out, errs)
	if _, code, done := parse(f, args, 0); done {
		return code
	}
	file, err := operatorconfig.Load(os.Getenv)
	if err == nil && file == nil {
		err = fmt.Errorf("%s: not set", operatorconfig.EnvVar)
	}
	var o follow.Options
	if err == nil {
		o, err = follow.FromOperator(&file.Etcd)
	}
	if err != nil {
		return fail(errs, "follow", err, exitConfig)
	}
	o.Seed = maphash.Bytes(maphash.MakeSeed(), nil) // relays do not ask in step
	if err := follow.Serve(context.Background(), o, os.Stdin, out); err != nil {
		return fail(errs, "follow", err, exitFailed)
	}
	return 0
}
