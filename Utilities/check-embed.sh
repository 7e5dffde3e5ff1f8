#!/usr/bin/env bash
# Installs libhickoryloft into a temporary directory, builds the embedding example against only that, and runs it.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
trap 'rm -r "$work"' EXIT
cmake --install build --prefix "$work/install" >/dev/null
cmake -S Examples/embed -B "$work/build" -DCMAKE_PREFIX_PATH="$work/install" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/embed-rate-share"
