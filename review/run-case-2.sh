#!/usr/bin/env bash
# Runs a case of the stand-ins: run-case-2.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
set -uo pipefail
name="$1"
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.."
classes=review/target/standins-2
if [[ ! -f "$classes/$name.class" || ! -f target/platform/almondmount-platform.jar ]]; then
	echo "not built: run the build of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec java -Xmx192m -XX:+UseSerialGC -cp "$classes" "$name" "$folder/record.txt"
