#!/usr/bin/env bash
# Installs what the checks need and runs them all.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null 2>&1; then
  (apt-get update && apt-get install -y spin) >/dev/null 2>&1 || echo "spin could not be installed; the model checks will fail" >&2
fi
node scripts/install-dependencies.mjs
# Without --force, the compiler takes compiled files that are newer than the sources for current, also those of another commit.
npx tsc -b --force
exec node scripts/run-checks.mjs "$@"
