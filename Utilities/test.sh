#!/usr/bin/env bash
# Installs the packages, builds, and passes the tests; arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."

Utilities/build.sh
ctest --preset default -j 6 "$@"
