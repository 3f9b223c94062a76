#!/bin/sh
# Builds the stand-in that the cases start. It needs Go and nothing else.
cd "$(dirname "$0")/standin" || exit 2
exec go build -o ../bin/standin .
