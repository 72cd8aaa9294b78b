#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Build first: the build of the deploy
# file, then review/build-3.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=build-review-3/OddEntryCaseMain
[ -x "$program" ] && [ -x target/cactuspitch-gateway ] || exit 2
exec timeout -k 2 118 "$program" review/11/record.txt
