#!/usr/bin/env bash
# Plays the regression runs: the light standard days of the users' deployments, one after the other, with
# the bench of the users. Prints the score and the gate of each, and keeps the whole output in DIR.
#
#     scripts/regression.sh BENCH SYSTEM "reason for the journal" [DIR]
#
# BENCH is the bench program, SYSTEM the folder with the users' pages and site files. The oldest site files
# (sites/) were replaced by those of the large deployment when its gate was passed. JOBS is the number of
# cores to use, MODE the options of a score (--quick by default, empty for all days).
set -euo pipefail
if [ $# -lt 3 ]; then
	echo "usage: scripts/regression.sh BENCH SYSTEM REASON [DIR]" >&2
	exit 2
fi
bench=$1 system=$2 reason=$3 dir=${4:-$(mktemp -d)}
cd "$(dirname "$0")/.."
sites="large/arcb-sicilia-large further/ixcot-rondas further-grown/ixcot-rondas-grown grown/arcb-sicilia-grown grown/kpv-anvil-grown"
failed=0
for site in $sites; do
	file=$dir/$(basename "$site").txt
	# shellcheck disable=SC2086 # MODE may hold several options
	"$bench" score "$system/$site.toml" ${MODE---quick} --jobs "${JOBS:-4}" --why "$reason" >"$file" 2>&1 || true
	grep -E '^score|^GATE' "$file" || echo "no score; see $file"
	grep -q '^GATE passed' "$file" || failed=1
done
echo "output: $dir"
exit $failed
