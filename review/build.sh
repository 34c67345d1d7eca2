#!/bin/sh
# Builds the stand-ins of the scripts under review/. They use Python's standard library only.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q common
