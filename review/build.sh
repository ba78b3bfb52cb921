#!/bin/sh
# Builds the stand-ins of the cases: plain Python, run by the interpreter of the deploy file's build.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m py_compile lib/rig.py */play.py
