#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain Python of the standard
# library, so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile shared-2/*.py
