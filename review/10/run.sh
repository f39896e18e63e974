#!/bin/sh
# Case 10: a front is stopped; clients use their kept connections 3.1 s later. TROUBLE=0 leaves the stop out.
exec python3 -B "$(dirname "$0")/case.py"
