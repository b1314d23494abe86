#!/bin/sh
# What the scripts of the second review start besides the daemon is written in Python
# (review/harness_2.py and case.py in each folder): there is nothing to build. This
# only checks that all of it can be compiled, and that the daemon has been built.
set -e
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in review/harness_2.py review/[4-8]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x target/pistachioweir || { echo "target/pistachioweir isn't built" >&2; exit 1; }
