#!/usr/bin/env bash
# Checks the documentation against the repository: relative links, the commands and flags that it
# mentions, and the list of packages in section 4 of docs/design.md. Prints every problem and fails
# if there is any.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/" ./cmd/anvilshunt ./cmd/anvilemu
: >"$work/problems"
problem() { echo "$*" >>"$work/problems"; }

mapfile -t pages < <(git ls-files -co --exclude-standard '*.md' | sort)
if [ "${#pages[@]}" -eq 0 ]; then
	echo "check-docs: no pages found" >&2
	exit 1
fi

# Links: [text](path) and [text](path#anchor), relative to the page.
for page in "${pages[@]}"; do
	while IFS= read -r link; do
		case $link in http://* | https://* | mailto:* | '#'*) continue ;; esac
		[ -e "$(dirname "$page")/${link%%#*}" ] || problem "$page: dead link $link"
	done < <(grep -o '\](\([^) ]*\))' "$page" | sed 's/^](//; s/)$//' || true)
done

# Commands in code spans and code blocks: a lower-case word after the name of the program must be a
# subcommand, as long as the command has subcommands, and the command must have each flag.
known() { # binary words...: writes the help of the command to $work/help, fails if there is no such command
	local binary=$1
	shift
	local status=0
	"$work/$binary" "$@" --help >"$work/help" 2>&1 || status=$?
	[ "$status" -eq 0 ] && grep -q 'COMMAND' "$work/help"
}
check_command() { # page binary words...: checks the subcommands and flags of one command line
	local page=$1 binary=$2 path=() word flag
	shift 2
	local line="$binary $*"
	if ! known "$binary"; then
		problem "$page: $binary --help fails"
		return
	fi
	while [ $# -gt 0 ] && [[ $1 =~ ^[a-z]+$ ]] && grep -q '^SUBCOMMANDS' "$work/help"; do
		if ! grep -q "^  $1 " <(sed -n '/^SUBCOMMANDS/,/^$/p' "$work/help"); then
			problem "$page: unknown command \"$line\""
			return
		fi
		path+=("$1")
		shift
		known "$binary" "${path[@]}" || problem "$page: \"$binary ${path[*]} --help\" fails"
	done
	for word in "$@"; do
		case $word in '|' | '>'* | '2>'* | '&'* | ';') break ;; esac
		[[ $word =~ ^--[a-z] ]] || continue
		flag=${word%%=*}
		[ "$flag" = --help ] || grep -qE -- "(^|[ ,])$flag( |,|$)" "$work/help" ||
			problem "$page: unknown flag $flag in \"$line\""
	done
}
commands() { # page: prints the command lines in the page that begin with anvilshunt or anvilemu
	awk '
		/^ *```/ { block = !block; next }
		block { sub(/^ *\$ /, ""); sub(/^ *bin\//, ""); if ($1 == "anvilshunt" || $1 == "anvilemu") print; next }
		{
			n = split($0, part, "`")
			for (i = 2; i <= n; i += 2) if (part[i] ~ /^(bin\/)?(anvilshunt|anvilemu) /) { sub(/^bin\//, "", part[i]); print part[i] }
		}' "$1"
}
for page in "${pages[@]}"; do
	while IFS= read -r line; do
		read -ra words <<<"$line"
		check_command "$page" "${words[@]}"
	done < <(commands "$page" | sort -u)
done

# Packages: the first table of section 4 must list each package of core/, io/ and cmd/, and each package
# that it lists must exist.
sed -n '/^## 4\./,/^### /p' docs/design.md | sed -n 's/^| `\([a-z/]*\)` |.*/\1/p' | sort >"$work/listed"
if [ ! -s "$work/listed" ]; then
	problem "docs/design.md: found no packages in section 4"
fi
while IFS= read -r package; do
	[ -n "$(git ls-files -co --exclude-standard "$package/*.go")" ] || problem "docs/design.md: section 4 lists $package, which doesn't exist"
done <"$work/listed"
# Only the first two parts of a path count, because the subcommands have packages of their own below
# io/anvilcmd, which the table does not list.
git ls-files -co --exclude-standard 'core/*.go' 'io/*.go' 'cmd/*.go' | cut -d/ -f1,2 | sort -u >"$work/present"
while IFS= read -r package; do
	problem "docs/design.md: section 4 lacks $package"
done < <(comm -13 "$work/listed" "$work/present")

if [ -s "$work/problems" ]; then
	cat "$work/problems" >&2
	echo "check-docs: $(wc -l <"$work/problems") problems" >&2
	exit 1
fi
echo "check-docs: ${#pages[@]} pages ok"
