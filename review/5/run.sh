#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
program="$folder/../../target/review/case$(basename "$folder")"
[ -x "$program" ] || exit 2
exec "$program" "$folder"
