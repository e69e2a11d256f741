#!/usr/bin/env bash
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case-2.sh" LateSubmission "$here"
