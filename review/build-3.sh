#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig3"
mkdir -p ../../target
GOFLAGS=-buildvcs=false go build -o ../../target/review-rig3 .
