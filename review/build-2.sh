#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs, so that building them is compiling them once to
# find out whether this machine's interpreter takes them.
set -e
cd "$(dirname "$0")"
for source in 6/lab.py 6/case.py 7/case.py 8/case.py 8/server.py 9/case.py 10/case.py; do
    if [ -f "$source" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
    fi
done
