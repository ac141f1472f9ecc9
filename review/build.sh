#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; the nodes are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standins ./review/platform
