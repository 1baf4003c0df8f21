#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec node review/5/case.mjs
