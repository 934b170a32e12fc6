#!/bin/sh
# Runs this case; TROUBLE=0 leaves the disruption out. Build the deploy file and review/build.sh first.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case=$root/review/bin/case-$(basename "$here")
[ -x "$case" ] && [ -x "$root/target/proxy" ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
timeout -k 2 114 "$case" "$root" "$here"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
