#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into review/target/standins-2.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/standins-2
mkdir -p target/standins-2
javac -Xlint:all -d target/standins-2 standins-2/*.java
