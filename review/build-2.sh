#!/bin/sh
# Builds the stand-ins and drivers of the cases of the second review into review/bin. Run it from anywhere, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin || exit 2
for program in review/programs-2/*/main.go; do
	go build -tags review -o review/bin/ "./$(dirname "$program")" || exit 2
done
