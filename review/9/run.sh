#!/usr/bin/env bash
# Case 9: a machine that was cut off from the store brings back a replica that has left. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
timeout 110 java -Xmx1g -Xss512k -XX:+UseSerialGC -cp target/review-2 ReturnedWatcher review/9
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
