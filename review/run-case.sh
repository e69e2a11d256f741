#!/usr/bin/env bash
# Runs a case: CLASS FOLDER. Writes record.txt in the folder; the exit status is that of the case.
set -uo pipefail
home="$(cd "$(dirname "$0")/.." && pwd)"
class="$1"
folder="$2"
if [[ ! -f "$home/review/target/classes/$class.class" || ! -f "$home/target/platform/almondmount-platform.jar" ]]; then
	echo "not built: build as deploy/system.toml says, then run review/build.sh" >&2
	exit 2
fi
timeout --signal=TERM --kill-after=3 115 java -Xmx512m -Dsun.net.httpserver.nodelay=true \
	-Djdk.httpclient.allowRestrictedHeaders=host -cp "$home/review/target/classes:$home/target/platform/lib/*" \
	"$class" "$home" "$folder/record.txt"
status=$?
[[ $status -le 1 ]] || status=2
exit "$status"
