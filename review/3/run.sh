#!/usr/bin/env bash
# Plays the case; exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/sorrelrudder ] && [ -x review/bin/keyedtask ] || { echo "build first: deploy/balancer.toml, review/build.sh"; exit 2; }
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
review/bin/keyedtask "$PWD" "$tmp" review/3/record.txt
