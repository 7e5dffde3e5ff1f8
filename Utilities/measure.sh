#!/usr/bin/env bash
# Repeats the published measurements: measure.sh capacity | policy | limits | decisions | all. Needs a finished build.
set -euo pipefail
cd "$(dirname "$0")/.."

capacity() {
  Utilities/measure_capacity.py --hosts 2,8,16,32 --window 15 --changes 4
  Utilities/measure_capacity.py --hosts 4 --adapters 150,1500,15000 --changes 3
  Utilities/measure_capacity.py --hosts 3 --load 300 --window 8
  Utilities/measure_capacity.py --hosts 2 --adapters 15000 --load 100 --window 5
  build/bin/loft-wire-sizes
}
policy() { build/bin/loft-policy-bench Examples/traces/*.toml; }
limits() { build/bin/loft-limits-bench --seeds 5; }
decisions() { build/bin/loft-decision-bench; }

case "${1:-}" in
  capacity | policy | limits | decisions) "$1" ;;
  all)
    capacity
    policy
    limits
    decisions
    ;;
  *)
    echo "usage: Utilities/measure.sh capacity | policy | limits | decisions | all" >&2
    exit 2
    ;;
esac
