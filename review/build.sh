#!/usr/bin/env bash
# Compiles the stand-ins that the cases start. They need the standard library
# only; the nodes themselves come from the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile stand/*.py */*.py
