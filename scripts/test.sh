#!/usr/bin/env bash
# Installs what the checks need and runs them all.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null 2>&1; then
  (apt-get update && apt-get install -y spin) >/dev/null 2>&1 || echo "spin could not be installed; the model checks will fail" >&2
fi
if [ ! -d node_modules ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund --prefer-offline >/dev/null
fi
npx tsc -b
exec node scripts/run-checks.mjs "$@"
