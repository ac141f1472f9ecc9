#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second independent review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standins-2 ./review/second/platform
