#!/usr/bin/env bash
# Checks that only the packages in platform/ depend on the protocol of the platform: no other
# package imports them or contains the field names, paths and headers of the protocol. Field names
# without an underscore are not checked, because other formats use such words too.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
if git grep -n '"anvilshunt/platform' -- '*.go' ':!platform/'; then
	echo "check-platform: packages outside platform/ import packages in platform/" >&2
	status=1
fi
names=$(cat platform/*.go | grep -oE 'json:"[a-z]+(_[a-z]+)+|"/?anvilshunt/[a-z-]+|Header\.(Get|Set)\("[A-Za-z-]+' |
	sed -E 's/.*"//; s/^json://' | sort -u | grep -vE '^(Authorization|Content-Type|Connection|Retry-After|/anvilshunt/platform|anvilshunt/(core|io|platform))$')
for name in $names; do
	if git grep -nE "[\"\`:/]${name}[\"\`,/]" -- 'core/*.go' 'io/*.go' 'cmd/*.go'; then
		echo "check-platform: $name belongs to the protocol of the platform and is used outside platform/" >&2
		status=1
	fi
done
lines=$(find platform -name '*.go' ! -name '*_test.go' -print0 | xargs -0 cat | wc -l)
[ "$status" -eq 0 ] && echo "check-platform: $(echo "$names" | wc -l) names checked, platform/ has $lines lines without tests"
exit "$status"
