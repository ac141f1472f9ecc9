#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# It needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/vaneyoked ] || [ ! -x target/review/standins-2 ]; then
  echo "the programs are not built" >&2
  exit 2
fi
exec target/review/standins-2 versions "${RECORD:-$here/record.txt}"
