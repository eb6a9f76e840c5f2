#!/usr/bin/env bash
# Starts, stops, kills and pauses a fleet of processes on one machine.
#
# usage: scripts/fleet.sh FLEET_FILE COMMAND [NAME...]
#
#   start    start the processes that do not run; exit 1 if one ends at once
#   stop     ask them to end (SIGTERM) and wait; nodes before what they depend on
#   kill     end them without warning (SIGKILL)
#   pause    freeze them (SIGSTOP), as a machine that hangs or is cut off
#   resume   let them go on (SIGCONT)
#   status   list them; exit 1 if one does not run
#   logs     print the last lines of their logs
#
# Without names a command is for all processes of the file.
#
# The fleet file holds a process a line: a name, then its command line. `@` at the start of a
# word or after `=` stands for the folder of the file. `#` starts a comment line.
#
#   COURSESHED_BIN    folder of the programs (default: target/release, else target/debug)
#   COURSESHED_RUN    folder for pids, logs and data (default: run/<folder of the file>)
#   COURSESHED_STOP   seconds that `stop` waits (default: 150)
#
# Only processes that this script started are ever signalled: a pid counts only together with
# the start time the kernel gives for it.
set -euo pipefail

usage() {
  sed -n '2,/^set -euo/{/^#/s/^# \{0,1\}//p}' "$0"
}

die() {
  echo "fleet: $*" >&2
  exit 2
}

case "${1:-}" in
  -h | --help) usage; exit 0 ;;
esac
[ $# -ge 2 ] || { usage >&2; exit 2; }

fleet_file=$1
command=$2
shift 2
[ -r "$fleet_file" ] || die "$fleet_file cannot be read"

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
fleet_folder=$(cd "$(dirname "$fleet_file")" && pwd)
run_folder=${COURSESHED_RUN:-$repository/run/$(basename "$fleet_folder")}
stop_seconds=${COURSESHED_STOP:-150}

binary_folder() {
  if [ -n "${COURSESHED_BIN:-}" ]; then
    (cd "$COURSESHED_BIN" && pwd)
  elif [ -x "$repository/target/release/courseshedd" ]; then
    echo "$repository/target/release"
  else
    echo "$repository/target/debug"
  fi
}

# All names of the file, in its order.
all_names() {
  awk '!/^[[:space:]]*(#|$)/ { print $1 }' "$fleet_file"
}

# The command line of a name.
command_of() {
  awk -v name="$1" '
    !/^[[:space:]]*(#|$)/ && $1 == name { sub(/^[[:space:]]*[^[:space:]]+[[:space:]]+/, ""); print; exit }
  ' "$fleet_file"
}

# The start time of a pid in clock ticks since boot; empty if there is no such process.
start_time() {
  sed -E 's/^.*\) //' "/proc/$1/stat" 2>/dev/null | awk '$1 != "Z" { print $20 }'
}

# The pid of a name, if the process that this script started still lives.
pid_of() {
  local pid started
  read -r pid started 2>/dev/null < "$run_folder/$1.pid" || return 1
  [ -n "$started" ] && [ "$(start_time "$pid")" = "$started" ] || return 1
  echo "$pid"
}

state_of() {
  local pid
  pid=$(pid_of "$1") || { echo stopped; return; }
  case "$(sed -E 's/^.*\) //' "/proc/$pid/stat" | cut -c1)" in
    T | t) echo paused ;;
    *) echo running ;;
  esac
}

start_one() {
  local name=$1 words=() word
  if pid_of "$name" > /dev/null; then
    echo "$name already runs"
    return
  fi
  read -ra words <<< "$(command_of "$name")"
  local index
  for index in "${!words[@]}"; do
    word=${words[$index]}
    case $word in
      @*) word=$fleet_folder${word#@} ;;
      *=@*) word=${word%%=@*}=$fleet_folder${word#*=@} ;;
    esac
    words[index]=$word
  done
  (
    cd "$run_folder"
    PATH="$binaries:$PATH" exec setsid "${words[@]}" >> "$run_folder/$name.log" 2>&1 < /dev/null
  ) &
  echo "$! $(start_time $!)" > "$run_folder/$name.pid"
}

# Names whose processes ended right after their start, with the reason they logged.
check_started() {
  local name failed=0
  sleep 0.3
  for name in "$@"; do
    if ! pid_of "$name" > /dev/null; then
      echo "$name ended at once: $(tail -n 1 "$run_folder/$name.log" 2>/dev/null)" >&2
      failed=1
    fi
  done
  return "$failed"
}

signal_one() {
  local pid
  if pid=$(pid_of "$2"); then
    kill "-$1" "$pid"
    echo "$2 $3"
  else
    echo "$2 does not run"
  fi
}

# Sends SIGTERM to all of the names and waits; a paused process is resumed so that it can end.
stop_together() {
  local name pid waited=0
  for name in "$@"; do
    if pid=$(pid_of "$name"); then
      kill -TERM "$pid"
      kill -CONT "$pid"
    fi
  done
  for name in "$@"; do
    while pid_of "$name" > /dev/null; do
      if [ "$waited" -ge $((stop_seconds * 10)) ]; then
        echo "$name has not ended after $stop_seconds s" >&2
        return 1
      fi
      sleep 0.1
      waited=$((waited + 1))
    done
    echo "$name stopped"
  done
}

# Nodes first, so that the streams they finish still find their engines.
stop_all() {
  local name nodes=() others=()
  for name in "$@"; do
    case "$(command_of "$name")" in
      courseshedd*) nodes+=("$name") ;;
      *) others+=("$name") ;;
    esac
  done
  stop_together "${nodes[@]}" && stop_together "${others[@]}"
}

names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  mapfile -t names < <(all_names)
fi
for name in "${names[@]}"; do
  [ -n "$(command_of "$name")" ] || die "$fleet_file has no process named $name"
done
mkdir -p "$run_folder"

case $command in
  start)
    binaries=$(binary_folder)
    for name in "${names[@]}"; do start_one "$name"; done
    check_started "${names[@]}"
    echo "${#names[@]} processes run; logs in $run_folder"
    ;;
  stop) stop_all "${names[@]}" ;;
  kill) for name in "${names[@]}"; do signal_one KILL "$name" killed; done ;;
  pause) for name in "${names[@]}"; do signal_one STOP "$name" paused; done ;;
  resume) for name in "${names[@]}"; do signal_one CONT "$name" resumed; done ;;
  status)
    failed=0
    for name in "${names[@]}"; do
      state=$(state_of "$name")
      printf '%-16s %-8s %s\n' "$name" "$state" "$(pid_of "$name" || true)"
      [ "$state" = running ] || failed=1
    done
    exit "$failed"
    ;;
  logs) for name in "${names[@]}"; do echo "== $name"; tail -n 20 "$run_folder/$name.log" || true; done ;;
  *) die "unknown command $command; there are start, stop, kill, pause, resume, status, logs" ;;
esac
