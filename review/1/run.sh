#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. What was sent, answered and run is written to
# record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd)
record="$folder/record.txt"
program="$folder/../../target/review/case$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$folder/../../target/primrosemount" ]; then
  echo "exit=2 not built: run the build of deploy/system.toml and review/build.sh first" | tee "$record"
  exit 2
fi
exec "$program" "$folder/../.." "$record"
