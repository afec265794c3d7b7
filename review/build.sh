#!/usr/bin/env bash
# Build every stand-in that the cases start. They are Python programs, without
# dependencies beyond those that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import standins.store.__main__"
python3 -m py_compile review/common.py
