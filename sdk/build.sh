#!/usr/bin/env bash
# Builds the example hooks into a folder: sdk/build.sh [DIR], drills/sets/wasm if
# none is given. Needs the Go tool chain alone.
set -euo pipefail
out=$(mkdir -p "${1:-$(dirname "$0")/../drills/sets/wasm}" && cd "${1:-$(dirname "$0")/../drills/sets/wasm}" && pwd)
cd "$(dirname "$0")/.."
for dir in sdk/examples/*/; do
	name=$(basename "$dir")
	GOOS=wasip1 GOARCH=wasm CGO_ENABLED=0 go build -trimpath -ldflags="-s -w" -buildmode=c-shared -o "$out/$name.wasm" "./sdk/examples/$name"
	echo "$out/$name.wasm"
done
