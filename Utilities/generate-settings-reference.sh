#!/usr/bin/env bash
# Writes docs/operators/settings.md from the tables that validate the settings, and docs/operators/log-fields.md from the table
# that loggers validate against; with --check it only compares.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly page=docs/operators/settings.md
readonly log_page=docs/operators/log-fields.md

reference() {
  cat <<TEXT
# Settings

Settings are TOML. Every key is checked: type, range, allowed values; an unknown key is refused with file, line and the nearest
known name. \`--check-settings\` checks a file and exits, \`--print-settings\` prints what is in effect. Durations are
milliseconds and their names end in \`_ms\`. Secrets are only read from files named by a setting. This page is generated from the
tables that check the settings (\`Utilities/generate-settings-reference.sh\`).
TEXT
  for program in loft-entry loft-coordinator; do
    printf '\n## %s\n\n' "$program"
    "build/bin/$program" --settings-reference
  done
}

if [ "${1:-}" = --check ]; then
  diff <(reference) "$page" || { echo "$page is out of date; run $0"; exit 1; }
  diff <(build/bin/loftctl log-fields) "$log_page" || { echo "$log_page is out of date; run $0"; exit 1; }
else
  reference >"$page"
  build/bin/loftctl log-fields >"$log_page"
fi
