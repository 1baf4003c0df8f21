#!/usr/bin/env bash
# Checks the stand-ins of cases 6 to 10. They are plain modules of Node.js, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in *-2.mjs [6-9]/case.mjs 10/case.mjs; do
  [ -e "$file" ] && node --check "$file"
done
test -f ../target/peridotspring-mesh.cjs || echo 'note: the build of the deploy file has not run' >&2
