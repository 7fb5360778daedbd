#!/usr/bin/env bash
# Usage: make-man.sh PROGRAM SECTION NAME SUMMARY [COMMAND...]
# Writes a manual page made of the program's own help texts, so that the two cannot differ. Each
# COMMAND adds a section with the text of "PROGRAM COMMAND --help".
set -eu
program=$1 section=$2 name=$3 summary=$4
shift 4
export LC_ALL=C.UTF-8

# Paragraphs keep their line breaks; a line that ends with ':' in the first column is a heading.
format() {
	sed -e 's/\\/\\e/g' -e 's/^\([.'"'"']\)/\\\&\1/' -e 's/-/\\-/g' | awk -v level="$1" '
		/^[A-Za-z][A-Za-z ]*:$/ {
			if (open) print ".fi"
			open = 0
			sub(/:$/, "")
			print level " " toupper($0)
			next
		}
		!open { print ".nf"; open = 1 }
		{ print }
		END { if (open) print ".fi" }'
}

printf '.TH %s %s "" hickorytrestle ""\n' "${name^^}" "$section"
printf '.SH NAME\n%s \\- %s\n' "$name" "$summary"
"$program" --help | format .SH
for command in "$@"; do
	printf '.SH "COMMAND %s"\n' "${command^^}"
	"$program" "$command" --help | format .SS
done
printf '.SH "SEE ALSO"\n.BR hickoryctl (1),\n.BR hickorytrestled (8),\ndocs/OPERATIONS.md, docs/events.md\n'
