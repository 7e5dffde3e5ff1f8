#!/usr/bin/env bash
# Runs clang-tidy over the hand-written sources (all, or those named as arguments); needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "$#" -gt 0 ]; then
  printf '%s\0' "$@"
else
  git ls-files -z --cached --others --exclude-standard 'Source/*.cc' 'platform/*.cc' 'StandIns/*.cc' 'Tests/*.cc'
fi | xargs -0 -r -P 8 -n 2 clang-tidy --quiet -p build 2>&1 |
  { grep -vE '^[0-9]+ warnings? (generated|treated)|^Suppressed|^Use -header-filter|^$' || true; } |
  tee build/lint.log
! grep -qE '(warning|error):' build/lint.log
