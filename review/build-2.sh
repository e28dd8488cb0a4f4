#!/bin/sh
# Builds what the scripts of the second review start beside the project: their
# stand-ins are Python and run from source, so this checks that they can be
# loaded with what the deploy file has built.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -c '
import harness_2
import streams_2
import tamarackpier.daemon.hosted_main
import tamarackpier.standin.hosted_platform
'
