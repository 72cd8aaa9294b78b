#!/usr/bin/env bash
# Exits with 1 if a request that ran was refused, 0 if not, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TROUBLE=${TROUBLE:-1} timeout -k 1 118 target/review-2/false-refusal "$folder"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
