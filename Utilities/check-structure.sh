#!/usr/bin/env bash
# Checks the dependencies between packages, the use of the platform adapter, dropped results of rc::check, and file sizes.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly max_lines=500
status=0
fail() { printf '%s\n' "$*"; status=1; }

# Each package with the packages that it may include, besides itself.
declare -A allowed=(
  [base]=""
  [http]="base"
  [settings]="base"
  [metrics]="base"
  [wire]="base"
  [keyvalue]="base"
  [program]="base settings"
  [endpoint]="base http"
  [claims]="base"
  [documents]="base settings"
  [limits]="base"
  [actions]="base"
  [placement]="base endpoint fleet routing"
  [fleet]="base http endpoint keyvalue"
  [admission]="base"
  [membership]="base keyvalue placement routing"
  [host]="base http metrics wire keyvalue endpoint fleet admission membership routing placement"
  [routing]="base"
  [report]="base metrics documents"
  [entry]="base program settings metrics wire endpoint documents limits actions routing"
  [coordinator]="base program settings metrics wire keyvalue endpoint claims documents limits actions placement"
  [tools]="base settings metrics wire keyvalue endpoint claims documents limits actions placement routing report"
)

for package in "${!allowed[@]}"; do
  while IFS=: read -r file included; do
    case " $package ${allowed[$package]} " in
      *" $included "*) ;;
      *) fail "$file includes package $included, which $package may not use" ;;
    esac
  done < <(grep -rnoE --exclude-dir=generated --include='*.h' --include='*.cc' '^#include "[a-z]+/' "Source/$package" 2>/dev/null |
    sed -E 's/:[0-9]+:#include "([a-z]+)\//:\1/')
done

# Only the main function in platform/ links the platform adapter with the product. Names of the platform's wire format are
# used in platform/ only.
readonly wire_names='Token-Usage|Not-Executed|Server-Limit|Prompt-Prefix|Server-Signature|Expect-Instance|Deadline-Ms|kv-txn|kv-range|kv-watch|coldRemainingMs|apiKeys|pathPrefix'
while IFS= read -r line; do
  fail "$line: only platform/ may include platform/"
done < <(grep -rnE '^#include "platform/' Source || true)
while IFS= read -r line; do
  fail "$line: a name of the platform's wire format is used outside platform/"
done < <(grep -rnE "$wire_names" Source --include='*.h' --include='*.cc' || true)
readonly max_adapter_lines=1700
adapter_lines=$(cat platform/*.cc platform/*.h | wc -l)
[ "$adapter_lines" -le "$max_adapter_lines" ] || fail "platform/ has $adapter_lines lines; the limit is $max_adapter_lines"

# rc::check only returns whether its property holds; a test must check the result.
while IFS= read -r line; do
  fail "$line: the result of rc::check is dropped; wrap it in CHECK or REQUIRE"
done < <(grep -rnE '^ *rc::check\(' Tests --include='*.cc' -B1 | awk '
  /^[^:]+-[0-9]+-/ {before = $0}
  /^[^:]+:[0-9]+:/ {if (before !~ /(=|\()$/) print $0}' || true)

while read -r lines file; do
  [ "$lines" -le "$max_lines" ] || fail "$file has $lines lines; the limit is $max_lines"
done < <(git ls-files -z --cached --others --exclude-standard '*.cc' '*.h' '*.py' '*.sh' '*.pml' |
  grep -zv '_generated\.h$' | xargs -0 -r wc -l | awk '$2 != "total" {print $1, $2}')

exit "$status"
