#!/usr/bin/env bash
# Installs, builds and starts the demo from a fresh clone; Ctrl-C or SIGTERM stops everything.
# With --platform the nodes run as on the users' platform: routes from its store, no operators' language.
set -euo pipefail
cd "$(dirname "$0")/.."
node scripts/install-dependencies.mjs
npx tsc -b
program=packages/stand-ins/dist/src/fleet/demo.js
if [ "${1:-}" = --platform ]; then
  program=platform/dist/tests/demo/main.js
  shift
fi
# Replaces the shell, so that a signal to this script reaches the demo.
exec node "$program" "$@"
