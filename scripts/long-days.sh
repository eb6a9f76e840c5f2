#!/usr/bin/env bash
# Plays days of a deployment that last several retentions of kept turns, on a copy of its page.
# A standard day ends 34 s after traffic begins, before a store has anything to forget: what holds
# there says nothing of the steady state. Prints a line for each play, with what broke or ended.
#
# Usage: scripts/long-days.sh BENCH SITE SECONDS SEED...
#   BENCH: the bench's program; SITE: the page of a deployment, beside its .days file and wire.json;
#   SECONDS: how long traffic is to last (three retentions of 75 s: 225).
set -euo pipefail
if [ $# -lt 4 ]; then
    sed -n '2,9s/^# \{0,1\}//p' "$0"
    exit 2
fi
bench=$(realpath "$1") site=$(realpath "$2") seconds=$3
shift 3
name=$(basename "$site" .toml)
day=${DAY:-trouble-1}
# Processor time that one play may take, in seconds; the usual limit is made for short days.
day_cap=3000
copy=$(mktemp -d)
trap 'rm -r "$copy"' EXIT
cp -r "$(dirname "$site")/." "$copy/"
chmod -R u+w "$copy"
sed -i "s/^length_s = .*/length_s = $seconds.0/" "$copy/$name.toml"
cd "$(dirname "$0")/.."
failed=0
for seed in "$@"; do
    why="trial: a day of $seconds s on a copy of the page of $name"
    output=$("$bench" run "$copy/$name.toml" "$day" --seed "$seed" --no-cpu --day-cap "$day_cap" --why "$why" 2>&1) || true
    line=$(grep -E "^$day " <<<"$output" || true)
    store=$(grep -E '^store +store' <<<"$output" || true)
    gateway=$(grep -E '^gateway +' <<<"$output" || true)
    controller=$(grep -E '^controller +' <<<"$output" || true)
    ends=$(grep -E 'over the limit|processes ended by themselves' <<<"$output" || true)
    echo "$name $day seed $seed, $seconds s: $line"
    echo "  $store"
    echo "  $gateway"
    echo "  $controller"
    [ -z "$ends" ] || echo "  $ends"
    if [ -z "$line" ] || grep -q BROKEN <<<"$line" || [ -n "$ends" ]; then
        failed=1
    fi
done
exit "$failed"
