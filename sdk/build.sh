#!/usr/bin/env bash
# Builds the example hooks into a directory: sdk/build.sh [DIR]. The default is
# drills/sets/wasm. Only the Go toolchain is needed.
set -euo pipefail
out=$(mkdir -p "${1:-$(dirname "$0")/../drills/sets/wasm}" && cd "${1:-$(dirname "$0")/../drills/sets/wasm}" && pwd)
cd "$(dirname "$0")/.."
for dir in sdk/examples/*/; do
	name=$(basename "$dir")
	GOOS=wasip1 GOARCH=wasm CGO_ENABLED=0 go build -trimpath -ldflags="-s -w" -buildmode=c-shared -o "$out/$name.wasm" "./sdk/examples/$name"
	echo "$out/$name.wasm"
done
