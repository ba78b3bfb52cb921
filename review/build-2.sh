#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: compiles them with the interpreter of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q -f review/stand_ins_2.py review/pods_2.py review/bad_clients_2.py
