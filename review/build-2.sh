#!/bin/sh
# Builds the stand-ins of the second review into review/bin. It needs the Go tool chain and no network, once the
# deploy file's build has run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
(cd review/standin2 && go build -o ../bin/standin2 .)
go build -tags review -o review/bin/etcd2 ./review/etcd2
