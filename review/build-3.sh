#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -cp 'target/platform/lib/*' -d target/review-3 review/standins-3/*.java
