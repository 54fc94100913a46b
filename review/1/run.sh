#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -f target/release/host.jar ] || [ ! -f target/review/KeyCase.class ]; then
	echo "build first" >&2
	exit 2
fi
folder="$(mktemp -d)" || exit 2
rm -f "$here/record.txt"
timeout 110 java -Xmx256m -Djava.io.tmpdir="$folder" -cp target/review KeyCase "$here/record.txt"
code=$?
rm -rf "$folder"
# The JVM ends with 1 too if it can't run the class.
case "$code" in
	0) grep -q "test result held" "$here/record.txt" || code=2 ;;
	1) grep -q "test result BROKEN" "$here/record.txt" || code=2 ;;
	*) code=2 ;;
esac
exit "$code"
