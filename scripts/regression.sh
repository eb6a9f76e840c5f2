#!/usr/bin/env bash
# Scores the deployments of the regression runs one after the other, and prints a line for each day.
# The oldest ones (sites/) were replaced by the two large ones once those had passed their gate.
#
# Usage: scripts/regression.sh BENCH KIT WHY [DAYS_AT_A_TIME]
#   BENCH: the bench's program; KIT: the folder with the deployments' site files;
#   WHY: the line for the journal; DAYS_AT_A_TIME: half of the processors unless given.
# A score in full takes some 2 minutes for a small deployment and 7 for a large one.
set -euo pipefail
if [ $# -lt 3 ]; then
    sed -n '2,9s/^# \{0,1\}//p' "$0"
    exit 2
fi
bench=$1 kit=$2 why=$3 at_a_time=${4:-$(($(nproc) / 2))}
deployments=(
    large/tlqg-quotes-large
    large/ezo-quote-large
    shifted/tlqg-quotes-now-grown
    grown/tlqg-quotes-grown
    grown/ezo-quote-grown
    further/slm-dispatch
    further-grown/slm-dispatch-grown
)
cd "$(dirname "$0")/.."
failed=0
for deployment in "${deployments[@]}"; do
    echo "== $deployment, $at_a_time days at a time"
    output=$("$bench" score "$kit/$deployment.toml" --jobs "$at_a_time" --why "$why") || true
    grep -E '^(score on|day  |quiet-|trouble-|scale-|fresh-|GATE)' <<<"$output" || true
    grep -q '^GATE passed' <<<"$output" || failed=1
done
exit "$failed"
