#!/bin/sh
# Builds the stand-ins of the script cases 6 to 10. They need the standard library only.
set -eu
cd "$(dirname "$0")/rig2"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/rig2 .
