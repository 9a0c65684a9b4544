#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/persimmonwalk.jar ] && [ -d target/review ] || exit 2
timeout -k 5 110 java -Xmx256m -cp target/review review.RouteReturns review/5/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
