#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python scripts that need only the standard
# library, so it is enough to check that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile common/*.py [0-9]*/*.py
