#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/main ] && [ -x target/release/gentiancove ] || exit 2
exec target/review3/main reborn review/14
