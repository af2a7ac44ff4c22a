#!/usr/bin/env bash
# Replaces a primary as planned while the store carries out the first write of the new database's entry late. With
# TROUBLE=0 that write is answered at once. Exits with 1 if an acknowledged write was lost, 0 if not, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/papayacove ] && [ -x target/review-standin-2 ] || exit 2
timeout --kill-after=5 100 target/review-standin-2 --daemon target/papayacove --record review/6/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
