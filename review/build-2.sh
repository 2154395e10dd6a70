#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/4 to review/8 start, and checks that what they need is there.
# The stand-ins are plain modules for Node without a dependency, so a check of each is all there is to build;
# the project's programs come from the build of the deploy file, which runs before this.
set -euo pipefail
cd "$(dirname "$0")/.."
for program in switchboard directory ratebook; do
  [ -f "target/$program.cjs" ] || { echo "target/$program.cjs is missing: run the build of deploy/system.toml first" >&2; exit 1; }
done
for module in review/common-2/*.mjs review/[45678]/*.mjs; do
  if [ -f "$module" ]; then node --check "$module"; fi
done
echo 'the stand-ins of the review are ready'
