#!/usr/bin/env python3
"""Says why programs missed their aim, from the decision lines of a played day.

Reads what `fleetbench run SITE DAY --log all` printed (a file or standard input) and prints one cause
for each program that failed or was late, with the number of programs for each cause. Only what
gateways logged counts: a call that no gateway read is seen as a pause of its program.
"""

import collections
import json
import re
import sys

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")
# A pause of a program longer than this, in seconds, has a call in it that no gateway read.
LONGEST_PAUSE_S = 1.2
# A call that takes this many times the median of its route is slow.
SLOW_FACTOR = 2.5
NOT_SERVED = {"no_server", "no_records", "not_started", "leaving", "too_late"}
LOST = {"broken", "broken_off", "timed_out", "turn_not_kept"}


def read_calls(lines):
    """The gateways' lines about calls that are over, with the time of the day in seconds."""
    for line in lines:
        match = LINE.match(line)
        if not match or '"call_over"' not in line:
            continue
        try:
            call = json.loads(match.group(3))
        except ValueError:
            continue
        call["ended_s"] = float(match.group(1))
        call["began_s"] = call["ended_s"] - call["took_ms"] / 1000
        call["gateway"] = match.group(2)
        yield call


def median(values):
    values = sorted(values)
    return values[len(values) // 2] if values else 0.0


def late_by_s(calls):
    """By how much a program ended after its aim, in seconds; negative when it was in time."""
    with_aim = [call for call in calls if call.get("program_left_ms") is not None]
    if not with_aim:
        return -1.0
    last = max(with_aim, key=lambda call: call["ended_s"])
    return (last["took_ms"] - last["program_left_ms"]) / 1000


def lost_times(calls, usual):
    """Where a program lost time, in seconds by cause."""
    lost = collections.Counter()
    before = None
    for call in sorted(calls, key=lambda call: call["began_s"]):
        if before is not None and call["began_s"] - before > LONGEST_PAUSE_S:
            lost["no gateway read its call (frozen, killed or dark)"] += call["began_s"] - before
        before = max(before or 0.0, call["ended_s"])
        took = call["took_ms"] / 1000
        outcome = call["outcome"]
        is_turn = call["first_part_ms"] is not None
        if outcome in NOT_SERVED:
            lost["refused: " + outcome] += took + 0.6
        elif outcome in LOST or outcome == "caller_left":
            lost[("turn" if is_turn else "call") + " without a whole answer: " + outcome] += took
        elif is_turn:
            name_slow_turn(lost, call, usual[call["route"]])
        elif took > SLOW_FACTOR * usual[call["route"]]["took"]:
            lost["slow call of a tool"] += took - usual[call["route"]]["took"]
    return lost


def name_slow_turn(lost, call, usual):
    first, took = call["first_part_ms"] / 1000, call["took_ms"] / 1000
    if first > usual["first"]:
        beyond = first - usual["first"]
        if call["unread_tokens"] > 3000:
            lost["its server had to read much"] += beyond
        elif call["calls_there"] > usual["calls"]:
            lost["its server was crowded, before the first event"] += beyond
        else:
            lost["its server read for others, before the first event"] += beyond
    events = max(call["events"], 1)
    gap = (took - first) / events
    if gap > usual["gap"]:
        lost["its server was slow between events"] += (gap - usual["gap"]) * events


def usual_times(calls):
    by_route = collections.defaultdict(list)
    for call in calls:
        if call["outcome"] == "answered":
            by_route[call["route"]].append(call)
    usual = collections.defaultdict(lambda: {"took": 0.5, "first": 0.1, "gap": 0.02, "calls": 0})
    for route, answered in by_route.items():
        turns = [call for call in answered if call["first_part_ms"] is not None]
        gaps = [(c["took_ms"] - c["first_part_ms"]) / 1000 / max(c["events"], 1) for c in turns]
        usual[route] = {
            "took": median([call["took_ms"] / 1000 for call in answered]),
            "first": median([call["first_part_ms"] / 1000 for call in turns]),
            "gap": median(gaps),
            "calls": median([call["calls_there"] for call in turns]),
        }
    return usual


def main():
    lines = open(sys.argv[1]) if len(sys.argv) > 1 else sys.stdin
    calls = list(read_calls(lines))
    usual = usual_times(calls)
    programs = collections.defaultdict(list)
    for call in calls:
        if call["program"]:
            programs[call["program"]].append(call)
    causes, shares = collections.Counter(), collections.Counter()
    for ours in programs.values():
        last = max(ours, key=lambda call: call["ended_s"])
        if last["outcome"] in ("budget_spent", "unknown_turn"):
            continue
        is_failed = last["outcome"] != "answered" and last["status"] != 200
        if not is_failed and late_by_s(ours) <= 0:
            continue
        lost = lost_times(ours, usual)
        cause = lost.most_common(1)[0][0] if lost else "none seen by gateways"
        causes[("failed" if is_failed else "late", cause)] += 1
        for name, seconds in lost.items():
            shares[name] += seconds
    print(f"{len(programs)} programs seen, {sum(causes.values())} missed their aim")
    for (end, cause), number in causes.most_common():
        print(f"{number:5}  {end:6}  {cause}")
    print("seconds lost by those programs, by cause:")
    for name, seconds in shares.most_common():
        print(f"{seconds:8.1f}  {name}")


if __name__ == "__main__":
    main()
