#!/bin/sh
# Case 10: a model server sends an event without end. TROUBLE=0 lets it answer soundly.
exec python3 "$(dirname "$0")/case.py"
