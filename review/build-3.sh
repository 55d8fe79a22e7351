#!/bin/sh
# Builds what the scripts of the third review start, beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/rig3"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../../target/review-rig3 .
