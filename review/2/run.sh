#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps"
exec python3 review/2/case.py
