#!/bin/sh
# The stand-ins of the cases are plain JavaScript and need no build; the program is built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
test -f target/peridotspring-mesh.cjs
