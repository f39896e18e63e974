#!/bin/sh
# Case 10: clients without a key send long Connection headers. TROUBLE=0 leaves those clients out.
exec python3 "$(dirname "$0")/case.py"
