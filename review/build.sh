#!/usr/bin/env bash
# The stand-ins are Python scripts that need nothing built: this only checks that they compile
# and that the build of the deploy file has made the binary that they start.
set -e
cd "$(dirname "$0")"
test -x ../target/release/gentiancove
for file in standins.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
