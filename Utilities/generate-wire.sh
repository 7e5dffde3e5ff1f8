#!/usr/bin/env bash
# Regenerates the committed FlatBuffers header from its schema; with --check it only compares.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = --check ]; then
  if ! command -v flatc >/dev/null; then
    echo "flatc is not installed; the generated header is not compared"
    exit 0
  fi
  out=$(mktemp -d)
  trap 'rm -r "$out"' EXIT
else
  out=Source/wire/generated
fi
flatc --cpp --gen-object-api --scoped-enums --cpp-std c++17 -o "$out" Source/wire/messages.fbs
if [ "${1:-}" = --check ]; then
  diff -q "$out/messages_generated.h" Source/wire/generated/messages_generated.h ||
    { echo "Source/wire/generated/messages_generated.h is out of date; run Utilities/generate-wire.sh"; exit 1; }
fi
