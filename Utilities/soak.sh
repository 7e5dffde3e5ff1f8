#!/usr/bin/env bash
# Plays the fault soak on a built tree. Arguments are those of Tests/soak/soak.py: --seeds N --first N --seconds N --hosts N ...
# Prints one line for each seed; --keep keeps the logs and prints where they are.
set -euo pipefail
cd "$(dirname "$0")/.."

LOFT_BIN="${LOFT_BIN:-$PWD/build/bin}" exec python3 -B Tests/soak/soak.py "$@"
