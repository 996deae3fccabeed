#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start: one program, which needs nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_harness-3
