#!/usr/bin/env bash
# Checks every settings file and change set below examples/ with `anvilshunt config check`, which must
# find no warning, and runs the Go tests of examples/, which check the change sets against targets.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/anvilshunt" ./cmd/anvilshunt
mapfile -t files < <(find examples -name '*.jsonc' | sort)
if [ "${#files[@]}" -eq 0 ]; then
	echo "check-examples: no files found below examples/" >&2
	exit 1
fi
"$work/anvilshunt" config check --strict "${files[@]}"
go test -count=1 ./examples/
