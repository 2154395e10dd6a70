#!/bin/sh
# The stand-ins of these cases are plain JavaScript (review/stand-ins/*.mjs): there is nothing to compile.
# This only checks that they and the built programs of the deploy file can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/stand-ins/*.mjs review/*/case.mjs; do node --check "$file"; done
for program in switchboard directory ratebook; do test -f "target/$program.cjs" || { echo "target/$program.cjs is missing: build the deploy file first" >&2; exit 1; }; done
