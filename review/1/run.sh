#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Build first: the command `build` of deploy/balancer.toml, then review/build.sh.
command -v python3 >/dev/null 2>&1 || { echo "python3 is missing"; exit 2; }
exec python3 "$(dirname "$0")/case.py"
