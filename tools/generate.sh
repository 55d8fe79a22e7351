#!/usr/bin/env bash
# Generates Go code from the schema. The build does not need it; run it after a change of schema/.
set -euo pipefail
cd "$(dirname "$0")/../schema"
go tool -modfile=../tools/gen/go.mod buf lint
go tool -modfile=../tools/gen/go.mod buf generate
