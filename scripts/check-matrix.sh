#!/usr/bin/env bash
# Checks that every test that docs/fault-matrix.md names exists, and counts the cells of its tables
# that a test proves, that are not proved, and that can't occur.
set -u
cd "$(dirname "$0")/.."
matrix=docs/fault-matrix.md
status=0
proved=0 open=0 impossible=0

# directory prints the directory of a package, given its name.
directory() {
	for dir in "core/$1" "io/$1" "cmd/$1" "$1"; do
		[ -d "$dir" ] && echo "$dir" && return
	done
}

# check reports an error if a test is missing. The test is given as package.Test, or as
# package.Test/script if it runs a script in the testdata directory of the package.
check() {
	local package=${1%%.*} rest=${1#*.}
	local name=${rest%%/*} script=""
	[ "$rest" != "$name" ] && script=${rest#*/}
	local dir
	dir=$(directory "$package")
	if [ -z "$dir" ] || ! grep -qE "^func $name\(t \*testing\.T\)" "$dir"/*_test.go; then
		echo "$matrix: $1: no such test" >&2
		status=1
	elif [ -n "$script" ] && [ -z "$(find "$dir/testdata" -name "$script.txt" -o -name "$script.script" 2>/dev/null)" ]; then
		echo "$matrix: $1: the test has no such script" >&2
		status=1
	fi
}

columns=0
while IFS= read -r line; do
	case $line in
	'|'*) ;;
	*) columns=0 && continue ;;
	esac
	IFS='|' read -ra cells <<<"$line"
	if [ "$columns" -eq 0 ]; then
		columns=${#cells[@]}
		continue
	fi
	[[ ${cells[1]} =~ ^[-\ ]*$ ]] && continue
	if [ "${#cells[@]}" -ne "$columns" ]; then
		echo "$matrix: row \"${cells[1]}\" has ${#cells[@]} cells, its table has $columns" >&2
		status=1
	fi
	for cell in "${cells[@]:2}"; do
		case $cell in
		' not proved: '?*) open=$((open + 1)) ;;
		' no: '?*) impossible=$((impossible + 1)) ;;
		*)
			names=$(grep -oE '[a-z]+\.Test[A-Za-z0-9]+(/[a-z0-9-]+)?' <<<"$cell")
			if [ -z "$names" ]; then
				echo "$matrix: row \"${cells[1]}\": the cell \"$cell\" names no test and gives no reason" >&2
				status=1
				continue
			fi
			proved=$((proved + 1))
			for name in $names; do
				check "$name"
			done
			;;
		esac
	done
done <"$matrix"
echo "$matrix: $proved cells proved, $open not proved, $impossible can't occur"
exit $status
