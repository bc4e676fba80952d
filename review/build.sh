#!/usr/bin/env bash
# Builds the programs of the review's cases into review/bin. The project's own programs are built by the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for dir in review/*/; do
	name=$(basename "$dir")
	if grep -qs '^package main$' "$dir"*.go; then
		go build -tags review -o review/bin/ "./review/$name"
	fi
done
