#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: they are Python
# files without dependencies, so that it is enough to compile them once. The programs of
# the project itself come from the build of the deploy file, in target/deps.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 1; }
for file in review/common_2.py review/[6-9]/case.py review/10/case.py; do
    if [ -f "$file" ]; then
        python3 -m py_compile "$file"
    fi
done
