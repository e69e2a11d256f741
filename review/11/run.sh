#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../run-case-3.sh" "$folder" Waiting
