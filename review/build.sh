#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
    [ ! -f "review/$n/main.go" ] || go build -o "review/bin/case-$n" "./review/$n"
done
