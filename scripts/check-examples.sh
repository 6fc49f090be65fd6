#!/usr/bin/env bash
# Checks every settings file below examples/ with `anvilshunt config check`, and runs the Go tests
# of examples/, which check the change sets.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/anvilshunt" ./cmd/anvilshunt
mapfile -t settings < <(find examples -name '*.jsonc' ! -name config.jsonc | sort)
if [ "${#settings[@]}" -eq 0 ]; then
	echo "check-examples: no settings files found below examples/" >&2
	exit 1
fi
"$work/anvilshunt" config check "${settings[@]}"
go test -count=1 ./examples/
