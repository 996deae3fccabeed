#!/usr/bin/env bash
# Cancels jobs whose submission the store does late, and looks for starts after that.
# Needs the build of deploy/system.toml and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/pomelomoor ] || { echo "target/ is not built" >&2; exit 2; }
exec target/review-3 cancel review/13/record.txt
