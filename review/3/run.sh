#!/bin/sh
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# With TROUBLE=0 the same is played without the disruption. What happened is written to record.txt.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec ../bin/standin drained-upgrade "$PWD/record.txt"
