#!/usr/bin/env bash
# Builds the stand-ins of the review. Needs the build of the deploy file, whose libraries they use.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
libraries="$here/../target/platform/lib"
if [[ ! -d "$libraries" ]]; then
	echo "build the programs first, as deploy/system.toml says" >&2
	exit 1
fi
mkdir -p "$here/target/classes"
javac -d "$here/target/classes" -cp "$libraries/*" "$here"/standins/*.java
