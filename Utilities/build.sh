#!/usr/bin/env bash
# Installs the packages, configures and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."

Utilities/install-packages.sh
cmake --preset default >/dev/null
cmake --build --preset default
