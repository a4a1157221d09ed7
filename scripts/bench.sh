#!/usr/bin/env bash
# Measures one case on loopback and prints one JSON line last.
#
#   scripts/bench.sh CASE [OPTION...]
#
# Each case stands in scripts/cases/CASE.sh and defines run_case.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh

CASE=${1:-}
if [[ -z $CASE || ! -f scripts/cases/$CASE.sh ]]; then
    say "usage: scripts/bench.sh CASE, where CASE is one of:"
    for file in scripts/cases/*.sh; do
        say "  $(basename "$file" .sh)"
    done
    exit 2
fi
# shellcheck source=/dev/null
source "scripts/cases/$CASE.sh"
build
begin
run_case "${@:2}"
