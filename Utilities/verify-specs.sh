#!/usr/bin/env bash
# Runs spin on every specification and checks that every broken variant fails.
# A specification declares its options at its head: "// RUN: <spin options>" once, and "// VARIANT: <option>" per broken variant.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly memory_mb=4096
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT

# verify SPEC NAME OPTIONS... - prints "errors: N" of an exhaustive run.
verify() {
  local spec=$1 name=$2
  shift 2
  local dir="$work/$name"
  mkdir -p "$dir"
  cp "$spec" "$dir/spec.pml"
  (cd "$dir" && spin "$@" -a spec.pml >spin.log 2>&1 &&
    cc -O2 -DCOLLAPSE -DSAFETY -DMEMLIM=$memory_mb -o pan pan.c >cc.log 2>&1 &&
    ./pan -m1000000 >pan.log 2>&1) || { cat "$dir"/*.log; return 1; }
  if grep -qE 'max search depth too small|out of memory|aborting' "$dir/pan.log"; then
    cat "$dir/pan.log"
    return 1
  fi
  grep -oE 'errors: [0-9]+' "$dir/pan.log"
}

passed=0
failed=0
for spec in Specs/*.pml; do
  [ -e "$spec" ] || continue
  base=$(basename "$spec" .pml)
  mapfile -t run < <(sed -nE 's|^// RUN: *||p' "$spec" | tr ' ' '\n' | grep -v '^$')
  errors=$(verify "$spec" "$base" "${run[@]}") || errors="errors: run failed"
  if [ "$errors" = "errors: 0" ]; then
    echo "ok $base holds ($(grep -oE '[0-9.e+]+ states, stored' "$work/$base/pan.log"))"
    passed=$((passed + 1))
  else
    echo "FAILED $base: $errors"
    failed=$((failed + 1))
  fi
  while read -r variant; do
    errors=$(verify "$spec" "$base-$variant" "${run[@]}" "-D$variant") || errors="errors: run failed"
    if [[ "$errors" =~ ^errors:\ [1-9] ]]; then
      echo "ok $base with $variant fails as expected"
      passed=$((passed + 1))
    else
      echo "FAILED $base with $variant: expected a counterexample, got '$errors'"
      failed=$((failed + 1))
    fi
  done < <(sed -nE 's|^// VARIANT: *||p' "$spec")
done
echo "specifications: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
