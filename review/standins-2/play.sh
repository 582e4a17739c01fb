#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. Writes FOLDER/record.txt, and ends all processes that it has started.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: no disruption.
root="$(cd "$(dirname "$0")/../.." && pwd)"
cd "$root" || exit 2
stand=target/review-2/stand
run="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)"
if [ ! -x "$stand" ] || [ -z "$run" ]; then
    echo "not run: review/build-2.sh has not built the stand-ins, or the deploy file names no command"
    exit 2
fi
temporary="$(mktemp -d)" || exit 2
finish() {
    # The stand-ins end the router by themselves, unless they were interrupted.
    if [ -s "$temporary/router.pid" ]; then
        kill -KILL "$(cat "$temporary/router.pid")" 2>/dev/null
    fi
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
export CASE_ROOT="$root" CASE_TEMPORARY="$temporary" CASE_RUN="$run" CASE_RECORD="$2/record.txt"
export TROUBLE="${TROUBLE:-1}"
"$stand" "$1" &
wait $!
