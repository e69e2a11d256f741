#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the new desired state.
set -uo pipefail
exec "$(dirname "$0")/../run-case.sh" RouteReplaced "$(cd "$(dirname "$0")" && pwd)"
