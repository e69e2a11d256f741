#!/usr/bin/env bash
# Runs a script of this review: run-case-3.sh FOLDER CLASS. The exit status is that of the case.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
if [ ! -d target/review-3 ] || [ ! -f target/platform/almondmount-platform.jar ]; then
	echo "not built: run the build of deploy/system.toml and review/build-3.sh" >&2
	exit 2
fi
exec java -Xmx512m -cp 'target/platform/lib/*:target/review-3' "$2" "$folder"
