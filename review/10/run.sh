#!/usr/bin/env bash
exec timeout 115 python3 "$(dirname "$0")/case.py"
