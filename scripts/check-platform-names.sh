#!/usr/bin/env bash
# Nothing outside platform/ knows the names of the users' platform: its headers, calls and settings.
# Every quoted header and call that platform/ translates is looked for in crates/.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(grep -ohE '"(courseshed-[a-z-]+|COURSESHED_[A-Z_]+)"' platform/src/headers.rs platform/src/settings.rs | tr -d '"' | sort -u)
# The product's own interface has these two under the same names.
own='^(courseshed-program-id|courseshed-request-id)$'
found=0
for name in $(printf '%s\n' "$names" | grep -vE "$own") 'configuration/replace' 'fleetbench' 'heartbeat_address'; do
    if grep -rnF --include='*.rs' -- "$name" crates; then
        echo "crates/ names the platform's $name" >&2
        found=1
    fi
done
exit "$found"
