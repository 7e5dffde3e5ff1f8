#!/usr/bin/env bash
# Fails if clang-format would change a hand-written source file.
set -euo pipefail
cd "$(dirname "$0")/.."

git ls-files -z --cached --others --exclude-standard '*.cc' '*.h' | grep -zv '_generated\.h$' |
  xargs -0 -r -P 8 -n 16 clang-format --dry-run --Werror
