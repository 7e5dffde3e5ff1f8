#!/usr/bin/env bash
# Builds the stand-ins of the cases from folder 6 on. They are Python programs
# that use the standard library only; nothing but python3 is needed.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for folder in ("lib2", "6", "7", "8", "9", "10"):
    for path in pathlib.Path(folder).glob("*.py"):
        compile(path.read_text(), str(path), "exec")
PYTHON
