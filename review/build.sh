#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target
go build -o ../../target/review-harness .
