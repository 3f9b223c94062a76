#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/troutusher bin/troutusher-kit review/bin/standin2 review/bin/etcd2; do
  [ -x "$program" ] || { echo "$program is missing: run the deploy file's build and review/build-2.sh"; exit 2; }
done
RECORD=review/9/record.txt exec review/bin/standin2 restart
