#!/usr/bin/env bash
# Checks that the stand-ins which the scripts start are ready: they are Python
# modules of this project and of review/, and need the libraries in target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c "
import review.harness
import tamarackpier.daemon.hosted_start
import tamarackpier.standin.fabric
import tamarackpier.standin.hosted_platform
import tamarackpier.standin.link
import tamarackpier.standin.rough_engine
"
