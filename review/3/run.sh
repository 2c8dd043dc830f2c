#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case.sh" cut-watch "$folder"
