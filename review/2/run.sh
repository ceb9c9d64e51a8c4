#!/usr/bin/env bash
# Writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
command -v python3 > /dev/null || { echo "could not run: python3 is missing"; exit 2; }
exec python3 "$(dirname "$0")/case.py"
